//! Crashes of the endpoint are told from other reasons for its silence.

use guard::{Answer, Event, HeartbeatState, Rejection, Snapshot};

use crate::fixture::{Fixture, heartbeat, is_poll, key, running};

/// An agent whose endpoint has one run and does not answer.
fn silent() -> Fixture {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    fixture.answer_poll(running(&[(key(1), 10)]));
    fixture.fail_polls(200);
    fixture
}

#[test]
fn an_endpoint_that_another_instance_replaces_has_crashed() {
    let mut fixture = silent();
    assert_eq!(fixture.guard.crashes(), 0);

    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    fixture.answer_poll(Snapshot::default());

    assert_eq!(fixture.guard.crashes(), 1);
}

#[test]
fn an_endpoint_whose_address_another_instance_has_has_crashed() {
    let mut fixture = silent();

    fixture.advance(100);
    fixture.answer(is_poll, Answer::Rejected(Rejection::Instance));

    assert_eq!(fixture.guard.crashes(), 1);
}

#[test]
fn an_endpoint_that_answers_again_has_not_crashed() {
    let mut fixture = silent();

    fixture.advance(100);
    fixture.answer_poll(running(&[(key(1), 20)]));

    assert_eq!(fixture.guard.crashes(), 0);
}

#[test]
fn an_endpoint_that_has_left_has_not_crashed() {
    let mut fixture = silent();
    fixture.event(Event::Left { instance: "i-1".to_owned() });

    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    fixture.answer_poll(Snapshot::default());

    assert_eq!(fixture.guard.crashes(), 0);
}

#[test]
fn an_endpoint_that_was_draining_has_not_crashed() {
    let mut fixture = Fixture::open();
    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Draining)));

    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    fixture.answer_poll(Snapshot::default());

    assert_eq!(fixture.guard.crashes(), 0);
}
