//! Leases are renewed while the endpoint answers and no stop is unconfirmed.

use guard::{Answer, CallKind, LEASE_MS, Rejection, Snapshot};
use mesh::{End, Notice};

use crate::fixture::{Fixture, is_poll, is_start, is_stop, key, running};

/// Lease that the newest poll in flight renews.
fn renewed(fixture: &Fixture) -> Option<u64> {
    let (_, call) = fixture.unanswered(is_poll).pop().expect("a poll");
    match call.kind {
        CallKind::Hold { lease, .. } => lease,
        CallKind::Start { .. } | CallKind::Stop { .. } => panic!("not a poll"),
    }
}

/// An agent with one run.
fn fixture_with_run() -> Fixture {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    fixture
}

#[test]
fn renews_the_lease_of_runs() {
    let mut fixture = fixture_with_run();

    fixture.answer_poll(running(&[(key(1), 1)]));

    assert_eq!(renewed(&fixture), Some(fixture.clock() + LEASE_MS));
}

#[test]
fn renews_no_lease_while_a_stop_is_unconfirmed() {
    let mut fixture = fixture_with_run();
    fixture.stop(vec![key(1)]);
    fixture.answer(is_stop, Answer::Unknown);

    fixture.answer_poll(running(&[(key(1), 1)]));

    assert_eq!(renewed(&fixture), None);
}

// Guards against a call to the endpoint every half millisecond while it closes all connections.
#[test]
fn a_stop_that_fails_at_once_is_not_sent_again_at_once() {
    let mut fixture = fixture_with_run();
    fixture.stop(vec![key(1)]);

    let mut stops = 0;
    for _ in 0..12 {
        while !fixture.unanswered(is_stop).is_empty() && stops < 1_000 {
            fixture.answer(is_stop, Answer::Unknown);
            stops += 1;
        }
        fixture.advance(10);
    }

    assert!((2..=4).contains(&stops), "{stops} stops in 120 ms");
}

// Guards against a start that extends the lease of a run which must end with it.
#[test]
fn sends_no_start_again_while_a_stop_is_unconfirmed() {
    let answers =
        [Answer::Unknown, Answer::Rejected(Rejection::Fence), Answer::Rejected(Rejection::Old)];
    for answer in answers {
        let mut fixture = fixture_with_run();
        fixture.order(vec![key(2)], 100);
        fixture.stop(vec![key(1)]);
        fixture.answer(is_stop, Answer::Unknown);

        fixture.advance(30);
        assert_eq!(fixture.started(), vec![key(2)], "{answer:?}");
        fixture.answer(is_start, answer.clone());

        assert_eq!(fixture.started(), vec![], "{answer:?}");
    }
}

#[test]
fn renews_the_lease_again_after_one_unanswered_poll() {
    let mut fixture = fixture_with_run();
    fixture.answer_poll(running(&[(key(1), 1)]));

    fixture.answer(is_poll, Answer::Unknown);
    fixture.advance(20);
    fixture.probe();
    assert_eq!(renewed(&fixture), None);
    assert_eq!(fixture.report.health, mesh::Health::Open);
    fixture.answer_poll(running(&[(key(1), 2)]));

    assert!(renewed(&fixture).is_some());
}

#[test]
fn reports_runs_as_lost_only_once_every_lease_has_expired() {
    let mut fixture = fixture_with_run();
    fixture.answer_poll(running(&[(key(1), 1)]));
    fixture.answer(is_poll, Answer::Unknown);
    fixture.advance(20);
    fixture.answer(is_poll, Answer::Unknown);

    for _ in 0..((LEASE_MS - 20) / 50) {
        fixture.advance(50);
        fixture.probe();
    }
    assert_eq!(fixture.notices, vec![]);
    fixture.advance(50);
    fixture.probe();

    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Lost, .. }]));
}

// Guards against an endpoint that gets no work any more because it rejects a stop for ever.
#[test]
fn a_run_whose_stop_is_always_rejected_ends_with_its_lease() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.answer(is_start, Answer::Unknown);
    fixture.answer(is_start, Answer::Rejected(Rejection::Unhealthy));
    let mut lost_after = None;

    for step in 1..=20 {
        while !fixture.unanswered(is_stop).is_empty() {
            fixture.answer(is_stop, Answer::Rejected(Rejection::Unhealthy));
        }
        fixture.advance_connected(50, &Snapshot::default());
        if lost_after.is_none() && !fixture.notices.is_empty() {
            lost_after = Some(step * 50);
        }
    }

    assert!(lost_after.is_some_and(|it| it >= LEASE_MS), "{lost_after:?}");
    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Lost, .. }]));
    fixture.order(vec![key(2)], 100);
    assert_eq!(fixture.started(), vec![key(2)]);
}

#[test]
fn waits_between_polls_of_an_endpoint_that_refuses_connections() {
    let mut fixture = fixture_with_run();

    for _ in 0..10 {
        if !fixture.unanswered(is_poll).is_empty() {
            fixture.answer(is_poll, Answer::Unsent);
        }
    }

    assert_eq!(fixture.unanswered(is_poll), vec![]);
    fixture.advance(30);
    assert_eq!(fixture.unanswered(is_poll).len(), 1);
}

// Guards against runs that never end for their entry, and polls without a pause, at an endpoint that
// answers no poll with a snapshot.
#[test]
fn takes_an_endpoint_that_rejects_every_poll_for_silent() {
    let mut fixture = fixture_with_run();
    for _ in 0..(LEASE_MS / 10) {
        for _ in 0..10 {
            if !fixture.unanswered(is_poll).is_empty() {
                fixture.answer(is_poll, Answer::Rejected(Rejection::Unhealthy));
            }
        }
        assert_eq!(fixture.unanswered(is_poll), vec![]);
        fixture.advance(10);
        fixture.probe();
    }
    fixture.advance(30);
    fixture.probe();

    assert_eq!(fixture.report.health, mesh::Health::Closed);
    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Lost, .. }]));
}
