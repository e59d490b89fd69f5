//! Leases are renewed while the endpoint answers and no stop is unconfirmed.

use guard::{Answer, CallKind, LEASE_MS};
use mesh::{End, Notice};

use crate::fixture::{Fixture, is_hold, is_stop, key, running};

/// Lease that the newest poll in flight renews.
fn renewed(fixture: &Fixture) -> Option<u64> {
    let (_, call) = fixture.waiting(is_hold).pop().expect("a look");
    match call.kind {
        CallKind::Hold { lease, .. } => lease,
        CallKind::Start { .. } | CallKind::Stop { .. } => panic!("no look"),
    }
}

/// An agent with one run.
fn with_run() -> Fixture {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    fixture
}

#[test]
fn renews_the_lease_of_what_runs() {
    let mut fixture = with_run();

    fixture.answer_hold(running(&[(key(1), 1)]));

    assert_eq!(renewed(&fixture), Some(fixture.clock() + LEASE_MS));
}

#[test]
fn renews_no_lease_while_a_stop_is_in_doubt() {
    let mut fixture = with_run();
    fixture.stop(vec![key(1)]);
    fixture.answer(is_stop, Answer::Unknown);

    fixture.answer_hold(running(&[(key(1), 1)]));

    assert_eq!(renewed(&fixture), None);
}

#[test]
fn goes_on_after_one_look_without_an_answer() {
    let mut fixture = with_run();
    fixture.answer_hold(running(&[(key(1), 1)]));

    fixture.answer(is_hold, Answer::Unknown);
    fixture.pass(20);
    fixture.probe();
    assert_eq!(renewed(&fixture), None);
    assert_eq!(fixture.report.health, mesh::Health::Open);
    fixture.answer_hold(running(&[(key(1), 2)]));

    assert!(renewed(&fixture).is_some());
}

#[test]
fn takes_runs_for_lost_only_when_every_lease_has_ended() {
    let mut fixture = with_run();
    fixture.answer_hold(running(&[(key(1), 1)]));
    fixture.answer(is_hold, Answer::Unknown);
    fixture.pass(20);
    fixture.answer(is_hold, Answer::Unknown);

    for _ in 0..((LEASE_MS - 20) / 50) {
        fixture.pass(50);
        fixture.probe();
    }
    assert_eq!(fixture.notices, vec![]);
    fixture.pass(50);
    fixture.probe();

    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Lost, .. }]));
}

#[test]
fn looks_at_an_endpoint_that_refuses_connections_at_intervals() {
    let mut fixture = with_run();

    for _ in 0..10 {
        if !fixture.waiting(is_hold).is_empty() {
            fixture.answer(is_hold, Answer::Unsent);
        }
    }

    assert_eq!(fixture.waiting(is_hold), vec![]);
    fixture.pass(30);
    assert_eq!(fixture.waiting(is_hold).len(), 1);
}
