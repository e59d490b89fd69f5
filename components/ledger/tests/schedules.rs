//! Random schedules of faults against the decision whether an id may start.
//!
//! `PRIMROSEMUX_SCHEDULES` sets the number of schedules, `PRIMROSEMUX_SEED` another
//! seed than the fixed one.

mod world;

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

use world::{Broken, run, schedules};

/// Schedules without faults in the mechanism, over all tests together.
const SCHEDULES: u32 = 10_000;

/// Tests that share the schedules, so that they run at the same time.
const PARTS: u32 = 4;

/// Schedules after which a broken mechanism must have been found.
const BROKEN_SCHEDULES: u32 = 4_000;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("the variable is a number"))
}

fn runner(cases: u32, part: u8, max_shrink_iters: u32) -> TestRunner {
    let config = Config { cases, max_shrink_iters, failure_persistence: None, ..Config::default() };
    let mut seed = [part; 32];
    seed[1..9].copy_from_slice(&variable("PRIMROSEMUX_SEED").unwrap_or_default().to_le_bytes());
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed))
}

fn check(part: u8) {
    let all = variable("PRIMROSEMUX_SCHEDULES").map_or(SCHEDULES, |it| it as u32);
    let mut runner = runner(all.div_ceil(PARTS), part, 20_000);

    let result = runner
        .run(&schedules(), |schedule| run(&schedule, Broken::Nothing).map_err(TestCaseError::fail));

    if let Err(err) = result {
        panic!("{err}");
    }
}

fn find(broken: Broken) {
    let mut runner = runner(BROKEN_SCHEDULES, 0, 0);

    let result =
        runner.run(&schedules(), |schedule| run(&schedule, broken).map_err(TestCaseError::fail));

    match result {
        Err(TestError::Fail(reason, _)) => println!("{broken:?}: {reason}"),
        other => panic!("no schedule found that {broken:?} is broken: {other:?}"),
    }
}

#[test]
fn starts_at_most_once_in_the_first_part_of_the_schedules() {
    check(0);
}

#[test]
fn starts_at_most_once_in_the_second_part_of_the_schedules() {
    check(1);
}

#[test]
fn starts_at_most_once_in_the_third_part_of_the_schedules() {
    check(2);
}

#[test]
fn starts_at_most_once_in_the_fourth_part_of_the_schedules() {
    check(3);
}

#[test]
fn finds_owners_that_ignore_their_horizon() {
    find(Broken::Horizon);
}

#[test]
fn finds_owners_that_ignore_their_lower_fence() {
    find(Broken::LowerFence);
}

#[test]
fn finds_a_restart_that_is_taken_for_the_earlier_start() {
    find(Broken::Incarnation);
}

#[test]
fn finds_a_restart_that_trusts_an_old_table() {
    find(Broken::ReadAfterStart);
}

#[test]
fn finds_promises_that_rest_on_a_newer_table() {
    find(Broken::PromiseOffset);
}

#[test]
fn finds_deputies_that_the_owner_does_not_know() {
    find(Broken::Arming);
}

#[test]
fn finds_refusals_that_are_not_remembered() {
    find(Broken::Refusal);
}

#[test]
fn finds_a_ledger_lost_in_a_hand_over() {
    find(Broken::HandOver);
}

#[test]
fn finds_cancellations_that_are_not_remembered() {
    find(Broken::Cancellation);
}
