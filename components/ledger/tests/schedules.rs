//! Runs random schedules of faults and checks that no id starts twice, and that none
//! starts after it was reported to a caller as not run or cancelled.
//!
//! `PRIMROSEMUX_SCHEDULES` overrides the number of schedules, `PRIMROSEMUX_SEED` the
//! fixed seed.

mod world;

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

use world::{
    Defect,
    schedule::{run, schedules},
};

/// Schedules that run without a defect.
const SCHEDULES: u32 = 10_000;

/// Threads that share the schedules.
const THREADS: u8 = 8;

/// Schedules within which a defect must be found.
const DEFECT_SCHEDULES: u32 = 4_000;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("variable is not a number"))
}

fn runner(cases: u32, part: u8, max_shrink_iters: u32) -> TestRunner {
    let config = Config { cases, max_shrink_iters, failure_persistence: None, ..Config::default() };
    let mut seed = [part; 32];
    seed[1..9].copy_from_slice(&env_number("PRIMROSEMUX_SEED").unwrap_or_default().to_le_bytes());
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed))
}

fn run_part(cases: u32, part: u8) -> Result<(), String> {
    runner(cases, part, 20_000)
        .run(&schedules(), |schedule| run(&schedule, Defect::None).map_err(TestCaseError::fail))
        .map_err(|err| err.to_string())
}

fn assert_detected(defect: Defect) {
    let mut runner = runner(DEFECT_SCHEDULES, 0, 0);

    let result =
        runner.run(&schedules(), |schedule| run(&schedule, defect).map_err(TestCaseError::fail));

    match result {
        Err(TestError::Fail(reason, _)) => println!("{defect:?}: {reason}"),
        other => panic!("no schedule found the defect {defect:?}: {other:?}"),
    }
}

#[test]
fn starts_each_id_at_most_once() {
    let all = env_number("PRIMROSEMUX_SCHEDULES").map_or(SCHEDULES, |it| it as u32);
    let cases = all.div_ceil(u32::from(THREADS));

    let results: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS).map(|part| scope.spawn(move || run_part(cases, part))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a thread panicked")).collect()
    });

    for result in results {
        assert!(result.is_ok(), "{}", result.unwrap_err());
    }
}

#[test]
fn finds_owners_that_ignore_their_horizon() {
    assert_detected(Defect::IgnoredHorizon);
}

#[test]
fn finds_owners_that_ignore_their_lower_fence() {
    assert_detected(Defect::IgnoredFence);
}

#[test]
fn finds_restarts_that_reuse_an_incarnation() {
    assert_detected(Defect::ReusedIncarnation);
}

#[test]
fn finds_refusals_that_are_not_recorded() {
    assert_detected(Defect::LostRefusal);
}

#[test]
fn finds_a_ledger_lost_in_a_hand_over() {
    assert_detected(Defect::LostHandOver);
}

#[test]
fn finds_cancellations_that_are_not_recorded() {
    assert_detected(Defect::LostCancellation);
}
