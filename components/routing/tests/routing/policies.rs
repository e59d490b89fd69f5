//! Simulated comparison of routing policies under load, faults and stale reports.

use std::time::Duration;

use crate::simulation::{Behaviour, Outcome, Parameters, Policy, run};

fn parameters(policy: Policy, load: f64) -> Parameters {
    Parameters {
        policy,
        entries: 4,
        agents: 10,
        slots: 8,
        load,
        report_interval: Duration::from_millis(700),
        seconds: 60,
        seed: 7,
    }
}

/// Runs the same requests with each policy and prints the response times.
fn compare<const N: usize>(
    policies: [Policy; N],
    load: f64,
    behaviours: &[Behaviour],
) -> [Outcome; N] {
    policies.map(|policy| {
        let outcome = run(parameters(policy, load), behaviours);
        println!(
            "load {load} {policy:?}: response over ideal p50 {:.3} p99 {:.2}, {} of {} failed",
            outcome.quantile(0.5),
            outcome.quantile(0.99),
            outcome.failed,
            outcome.ratios.len() + outcome.failed as usize,
        );
        outcome
    })
}

#[test]
fn response_times_stay_near_an_oracle_and_below_other_policies() {
    let policies = [Policy::Router, Policy::Random, Policy::LeastLoaded, Policy::Oracle];
    for (load, limit) in [(0.5, 1.1), (0.8, 1.5), (0.95, 1.3)] {
        let [router, random, least, oracle] = compare(policies, load, &[]);

        assert!(router.excess(0.99) < random.excess(0.99) / 2.0);
        assert!(router.excess(0.99) < least.excess(0.99) / 2.0);
        assert!(router.quantile(0.99) < oracle.quantile(0.99) * limit);
        assert!(router.quantile(0.5) < oracle.quantile(0.5) * 1.2);
    }
}

#[test]
fn an_executor_that_fails_every_request_gets_little_load() {
    let policies = [Policy::Router, Policy::Random, Policy::LeastLoaded];
    let faulty = Behaviour::Fails { from: 11, to: 41 };

    let [router, random, least] = compare(policies, 0.7, &[faulty]);

    assert!(router.failed <= 40, "{}", router.failed);
    assert!(router.failed < random.failed / 5);
    assert!(router.failed < least.failed / 20);
}

#[test]
fn an_executor_that_recovers_gets_its_load_back() {
    let faulty = Behaviour::Fails { from: 2, to: 6 };

    let outcome = run(parameters(Policy::Router, 0.7), &[faulty]);

    let mean = outcome.started.iter().sum::<u32>() / 10;
    assert!(outcome.failed > 0);
    assert!(outcome.started[0] > mean * 6 / 10, "{:?}", outcome.started);
}

#[test]
fn a_straggler_gets_little_load() {
    let policies = [Policy::Router, Policy::Random, Policy::LeastLoaded];

    let [router, random, least] = compare(policies, 0.7, &[Behaviour::Slow(6.0)]);

    assert!(router.started[0] * 2 < least.started[0], "{}", router.started[0]);
    assert!(router.excess(0.99) < least.excess(0.99) / 2.0);
    assert!(router.excess(0.99) < random.excess(0.99) / 2.0);
}
