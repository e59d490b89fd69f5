//! Agents and endpoints that restart, drain or shut down.

use guard::{Answer, CallKind, Event, HeartbeatState, Rejection, Snapshot};
use mesh::{End, Health, Notice, Refusal};

use crate::fixture::{Fixture, heartbeat, instance, is_poll, is_stop, key, running};

#[test]
fn polls_a_new_endpoint_without_renewing_any_lease() {
    let mut fixture = Fixture::new();

    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Ready)));

    let (_, call) = fixture.unanswered(is_poll).pop().expect("a poll");
    assert_eq!(call.kind, CallKind::Hold { lease: None, acknowledged: 0, wait: 0 });
    assert_eq!(call.instance, instance("i-1"));
}

#[test]
fn stops_the_runs_of_an_earlier_agent_before_it_accepts_work() {
    let mut fixture = Fixture::new();
    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Ready)));

    fixture.answer_poll(running(&[(key(8), 10)]));
    fixture.order(vec![key(1)], 100);
    assert_eq!(fixture.unanswered(is_stop).len(), 1);
    assert_eq!(fixture.report.health, Health::Closed);
    fixture.advance(50);
    fixture.answer_poll(Snapshot::default());
    fixture.order(vec![key(2)], 100);

    assert_eq!(fixture.started(), vec![key(2)]);
    let refused = Notice::Refused { key: key(1), refusal: Refusal::Closed };
    assert_eq!(fixture.notices, vec![refused]);
}

#[test]
fn ignores_a_late_heartbeat_of_an_instance_that_has_ended() {
    let mut fixture = Fixture::open();
    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    fixture.answer_poll(Snapshot::default());
    fixture.calls.clear();

    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Ready)));

    assert!(fixture.unanswered(is_poll).iter().all(|(_, call)| call.instance == instance("i-2")));
    fixture.order(vec![key(1)], 100);
    assert_eq!(fixture.started(), vec![key(1)]);
}

#[test]
fn ignores_a_heartbeat_of_an_instance_that_is_not_at_its_address() {
    let mut fixture = Fixture::open();
    fixture.event(Event::Heartbeat(heartbeat("i-0", HeartbeatState::Ready)));

    fixture.answer(is_poll, Answer::Rejected(Rejection::Instance));
    fixture.order(vec![key(1)], 100);

    assert_eq!(fixture.started(), vec![key(1)]);
}

#[test]
fn reports_the_runs_of_an_endpoint_that_restarts_as_lost_at_once() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    fixture.calls.clear();
    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));

    fixture.answer_poll(Snapshot::default());
    fixture.probe();

    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Lost, .. }]));
}

#[test]
fn gives_a_draining_endpoint_no_more_work() {
    let mut fixture = Fixture::open();

    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Draining)));
    fixture.order(vec![key(1)], 100);

    assert_eq!(fixture.started(), vec![]);
    assert_eq!(fixture.report.health, Health::Closed);
}

#[test]
fn an_agent_that_shuts_down_finishes_its_runs_first() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();

    fixture.event(Event::Shutdown);
    fixture.advance_connected(200, &running(&[(key(1), 50)]));
    assert!(!fixture.finished);
    let snapshot = crate::fixture::ended(1, &[(key(1), guard::RunOutcome::Done)]);
    fixture.advance_connected(100, &snapshot);
    fixture.advance_connected(50, &Snapshot::default());

    assert!(fixture.finished);
    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Done, .. }]));
}
