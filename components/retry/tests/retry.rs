//! Budget, backoff and hedge delay.

use std::time::Duration;

use ident::Timestamp;
use rand::{SeedableRng, rngs::SmallRng};
use retry::{Budget, LatencyWindow, backoff};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Retries that the budget grants at once.
fn spend(budget: &mut Budget, now: Timestamp) -> usize {
    (0..1000).take_while(|_| budget.try_spend(now)).count()
}

#[test]
fn retries_are_a_share_of_first_attempts() {
    let mut budget = Budget::new(10);
    spend(&mut budget, at(0));

    let mut retries = 0;
    for _ in 0..1000 {
        budget.on_request();
        retries += usize::from(budget.try_spend(at(0)));
    }

    assert!((95..=100).contains(&retries), "{retries}");
}

#[test]
fn an_outage_after_much_traffic_gets_few_retries_at_once() {
    let mut budget = Budget::new(10);
    for _ in 0..100_000 {
        budget.on_request();
    }

    assert_eq!(spend(&mut budget, at(0)), 20);
}

#[test]
fn a_service_without_traffic_gets_one_retry_per_second() {
    let mut budget = Budget::new(10);
    spend(&mut budget, at(0));

    let soon = spend(&mut budget, at(500));
    let later = spend(&mut budget, at(1500));

    assert_eq!((soon, later), (0, 1));
}

#[test]
fn no_percentage_means_no_retries() {
    let mut budget = Budget::new(10);
    for _ in 0..1000 {
        budget.on_request();
    }

    budget.set_percent(0);

    assert_eq!(spend(&mut budget, at(60_000)), 0);
}

#[test]
fn backoff_spreads_evenly_up_to_a_limit_that_doubles() {
    let mut rng = SmallRng::seed_from_u64(1);

    for (attempt, limit_ms) in [(0, 10), (1, 20), (3, 80), (40, 1000)] {
        let limit = Duration::from_millis(limit_ms);
        let waits: Vec<Duration> = (0..1000).map(|_| backoff(attempt, &mut rng)).collect();
        let low = waits.iter().filter(|it| **it < limit / 4).count();

        assert!(waits.iter().all(|it| *it <= limit));
        assert!((200..300).contains(&low), "{low}");
    }
}

#[test]
fn quantiles_need_samples() {
    let mut latency = LatencyWindow::new();
    for _ in 0..10 {
        latency.record(Duration::from_millis(5));
    }

    assert_eq!(latency.quantile(0.5), None);
}

#[test]
fn quantiles_follow_recent_samples() {
    let mut latency = LatencyWindow::new();
    for _ in 0..5000 {
        latency.record(Duration::from_millis(5));
    }

    for index in 0..1100 {
        latency.record(Duration::from_millis(100 + index % 100));
    }

    let median = latency.quantile(0.5).expect("there are samples").as_millis();
    assert!((135..165).contains(&median), "{median}");
}
