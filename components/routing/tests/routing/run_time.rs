//! Estimates of run times and hedge delays.

use std::time::Duration;

use config::Inventory;
use ident::Timestamp;
use routing::{RequestOutcome, RequestResult, Router};
use wire::Load;

use crate::fixture::{SERVICE, node, report};

const KIND: &str = "cradle-fit";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn router() -> Router {
    let mut router = Router::new("pier-yard");
    router.on_report(&report(0, 1, Load::default()), at(0));
    router
}

fn run(router: &mut Router, declared: Option<Duration>, run_time: Duration, now: Timestamp) {
    let result = RequestResult {
        kind: KIND,
        declared,
        expected: run_time,
        sent_at: now,
        run_time,
        outcome: RequestOutcome::Healthy,
        load: None,
    };
    router.on_reply(node(0), &result, now + run_time);
}

fn published(run_ms: u64) -> Inventory {
    let text = format!(
        "[[services]]\nname = \"{SERVICE}\"\n\
         [[urgencies]]\nname = \"urgent\"\nrank = 0\ndeadline_ms = 2000\n\
         [[kinds]]\nservice = \"{SERVICE}\"\nname = \"{KIND}\"\nidempotent = false\n\
         urgency = \"urgent\"\nrun_ms = {run_ms}\n"
    );
    Inventory::parse(&text).expect("the inventory is valid")
}

fn assert_near(actual: Duration, expected: Duration) {
    let ratio = actual.as_secs_f64() / expected.as_secs_f64();
    assert!((0.8..1.25).contains(&ratio), "{actual:?} is not near {expected:?}");
}

#[test]
fn learns_the_ratio_of_actual_to_declared_run_times() {
    let mut router = router();

    for index in 0..100 {
        let declared = ms(50 + 37 * (index % 20));
        run(&mut router, Some(declared), declared * 4, at(index));
    }

    assert_near(router.expected_run_time(SERVICE, KIND, Some(ms(1000)), at(100)), ms(4000));
    assert_near(router.expected_run_time(SERVICE, KIND, Some(ms(60)), at(100)), ms(240));
}

#[test]
fn ignores_declared_times_that_do_not_correlate_with_actual_ones() {
    let mut router = router();

    for index in 0..200 {
        let declared = ms([1, 10, 100, 1000, 10_000][index as usize % 5]);
        run(&mut router, Some(declared), ms(200), at(index));
    }

    assert_near(router.expected_run_time(SERVICE, KIND, Some(ms(10_000)), at(200)), ms(200));
}

#[test]
fn one_outlier_changes_little() {
    let mut router = router();
    for index in 0..100 {
        run(&mut router, None, ms(100), at(index));
    }

    run(&mut router, None, ms(600_000), at(100));

    assert_near(router.expected_run_time(SERVICE, KIND, None, at(101)), ms(100));
}

#[test]
fn adapts_to_a_sudden_change_of_the_run_time() {
    let mut router = router();
    for index in 0..1000 {
        run(&mut router, None, ms(100), at(index));
    }

    for index in 1000..1060 {
        run(&mut router, None, ms(400), at(index));
    }

    assert_near(router.expected_run_time(SERVICE, KIND, None, at(1060)), ms(400));
}

#[test]
fn a_changed_run_time_in_the_inventory_replaces_the_estimate() {
    let mut router = router();
    router.set_inventory(&published(100));
    run(&mut router, None, ms(150), at(1));

    router.set_inventory(&published(100));
    let kept = router.expected_run_time(SERVICE, KIND, None, at(2000));
    router.set_inventory(&published(700));
    let replaced = router.expected_run_time(SERVICE, KIND, None, at(2000));

    assert_eq!((kept, replaced), (ms(150), ms(700)));
}

#[test]
fn an_estimate_decays_if_used_often_without_samples_but_not_if_used_rarely() {
    let mut router = router();
    run(&mut router, None, ms(800), at(0));

    let rare = router.expected_run_time(SERVICE, KIND, None, at(3_600_000));
    for _ in 0..30 {
        router.expected_run_time(SERVICE, KIND, None, at(3_600_000));
    }
    let refused = router.expected_run_time(SERVICE, KIND, None, at(3_600_000));

    assert_near(rare, ms(800));
    assert_near(refused, ms(50));
}

#[test]
fn the_hedge_delay_is_the_p99_of_response_ratios() {
    let mut router = router();
    for index in 0..1000 {
        let result = RequestResult {
            kind: KIND,
            declared: None,
            expected: ms(100),
            sent_at: at(index),
            run_time: ms(index % 100 + 1),
            outcome: RequestOutcome::Healthy,
            load: None,
        };
        router.on_reply(node(0), &result, at(index) + ms(2 * (index % 100 + 1)));
    }

    let short = router.hedge_delay(SERVICE, KIND, ms(100)).expect("there are samples");
    let long = router.hedge_delay(SERVICE, KIND, ms(2000)).expect("there are samples");

    assert_near(short, ms(198));
    assert_near(long, ms(3960));
    assert_eq!(router.hedge_delay(SERVICE, "other", ms(100)), None);
}
