//! Answers for an instance of the endpoint that is not the present one.

use guard::{Answer, Event, HeartbeatState, Rejection, Snapshot};
use mesh::Notice;

use crate::fixture::{Fixture, heartbeat, instance, is_poll, is_start, key, running};

// Guards against a second run elsewhere of all that an endpoint runs, after an answer to its
// predecessor at the same address.
#[test]
fn an_answer_for_an_earlier_instance_does_not_end_the_runs_of_the_present_one() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    let (late, _) = fixture.unanswered(is_start).pop().expect("a start");
    fixture.calls.retain(|(_, call)| !is_start(&call.kind));
    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    fixture.answer_poll(Snapshot::default());
    fixture.notices.clear();
    fixture.order(vec![key(2)], 100);
    fixture.accept_start();

    fixture.event(Event::Answered { id: late, answer: Answer::Rejected(Rejection::Instance) });
    fixture.answer_poll(running(&[(key(2), 10)]));
    fixture.probe();

    let ends = fixture
        .notices
        .iter()
        .filter(|it| matches!(it, Notice::Ended { key: it, .. } if *it == key(2)));
    assert_eq!(ends.count(), 0);
    fixture.order(vec![key(3)], 100);
    assert_eq!(fixture.started(), vec![key(3)]);
}

// Guards against an endpoint that gets no work because its predecessor's address was rejected.
#[test]
fn an_endpoint_is_adopted_though_the_poll_of_an_instance_announced_before_it_is_rejected() {
    let mut fixture = Fixture::new();
    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Ready)));
    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));

    fixture.answer(is_poll, Answer::Rejected(Rejection::Instance));
    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    let (_, call) = fixture.unanswered(is_poll).pop().expect("a poll");
    assert_eq!(call.instance, instance("i-2"));
    fixture.answer_poll(Snapshot::default());
    fixture.order(vec![key(1)], 100);

    assert_eq!(fixture.started(), vec![key(1)]);
}

// Guards against the runs of an endpoint being taken for none by the snapshot of another one.
#[test]
fn a_snapshot_of_another_announced_instance_is_not_taken_for_that_of_the_newest() {
    let mut fixture = Fixture::new();
    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Ready)));
    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));

    fixture.answer_poll(Snapshot::default());
    fixture.advance(10);
    fixture.order(vec![key(1)], 100);

    assert_eq!(fixture.started(), vec![]);
    let (_, call) = fixture.unanswered(is_poll).pop().expect("a poll");
    assert_eq!(call.instance, instance("i-2"));
}
