//! Agents and endpoints that restart, drain or shut down.

use guard::{Answer, CallKind, Event, HeartbeatState, Look, Rejection};
use mesh::{End, Health, Notice, Refusal};

use crate::fixture::{Fixture, heartbeat, instance, is_hold, is_stop, key, running};

#[test]
fn looks_at_a_new_endpoint_without_renewing_any_lease() {
    let mut fixture = Fixture::new();

    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Ready)));

    let (_, call) = fixture.waiting(is_hold).pop().expect("a look");
    assert_eq!(call.kind, CallKind::Hold { lease: None, acknowledged: 0, wait: 0 });
    assert_eq!(call.instance, instance("i-1"));
}

#[test]
fn stops_what_an_earlier_agent_left_before_it_takes_work() {
    let mut fixture = Fixture::new();
    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Ready)));

    fixture.answer_hold(running(&[(key(8), 10)]));
    fixture.order(vec![key(1)], 100);
    assert_eq!(fixture.waiting(is_stop).len(), 1);
    assert_eq!(fixture.report.health, Health::Closed);
    fixture.pass(50);
    fixture.answer_hold(Look::default());
    fixture.order(vec![key(2)], 100);

    assert_eq!(fixture.started(), vec![key(2)]);
    let refused = Notice::Refused { key: key(1), refusal: Refusal::Closed };
    assert_eq!(fixture.notices, vec![refused]);
}

#[test]
fn ignores_a_late_heartbeat_of_an_instance_that_has_ended() {
    let mut fixture = Fixture::open();
    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    fixture.answer_hold(Look::default());
    fixture.calls.clear();

    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Ready)));

    assert!(fixture.waiting(is_hold).iter().all(|(_, call)| call.instance == instance("i-2")));
    fixture.order(vec![key(1)], 100);
    assert_eq!(fixture.started(), vec![key(1)]);
}

#[test]
fn ignores_a_heartbeat_of_an_instance_that_is_not_at_its_address() {
    let mut fixture = Fixture::open();
    fixture.event(Event::Heartbeat(heartbeat("i-0", HeartbeatState::Ready)));

    fixture.answer(is_hold, Answer::Rejected(Rejection::Instance));
    fixture.order(vec![key(1)], 100);

    assert_eq!(fixture.started(), vec![key(1)]);
}

#[test]
fn runs_of_an_endpoint_that_was_started_anew_are_lost_at_once() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    fixture.calls.clear();
    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));

    fixture.answer_hold(Look::default());
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
fn an_agent_that_stops_finishes_its_runs_first() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();

    fixture.event(Event::Stop);
    fixture.live(200, &running(&[(key(1), 50)]));
    assert!(!fixture.finished);
    let look = crate::fixture::ended(1, &[(key(1), guard::EndpointEnd::Done)]);
    fixture.live(100, &look);
    fixture.live(50, &Look::default());

    assert!(fixture.finished);
    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Done, .. }]));
}
