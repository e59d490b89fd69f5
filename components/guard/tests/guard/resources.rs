//! The capacity of an endpoint is never exceeded.

use guard::{Answer, Event, Heartbeat, HeartbeatState, RunOutcome};
use mesh::{End, EndpointInfo, Health, Notice, Refusal};

use crate::fixture::{CAPACITY, Fixture, ended, heartbeat, is_start, is_stop, key, running};

#[test]
fn starts_the_runs_that_fit_and_refuses_the_rest_in_time() {
    let mut fixture = Fixture::open();

    fixture.order(vec![key(1), key(2), key(3)], CAPACITY / 2);
    assert_eq!(fixture.started(), vec![key(1), key(2)]);
    fixture.advance(80);
    fixture.probe();

    let refused = Notice::Refused { key: key(3), refusal: Refusal::Room };
    assert_eq!(fixture.notices, vec![refused]);
}

#[test]
fn starts_the_next_run_as_soon_as_one_has_ended() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1), key(2)], CAPACITY);
    fixture.accept_start();

    fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Done)]));

    assert_eq!(fixture.started(), vec![key(2)]);
    assert!(matches!(fixture.notices[0], Notice::Ended { end: End::Done, .. }));
}

#[test]
fn keeps_the_resources_of_a_run_that_is_being_stopped() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], CAPACITY);
    fixture.accept_start();
    fixture.stop(vec![key(1)]);
    let clock = fixture.clock();
    fixture.answer(is_stop, Answer::Accepted { clock });

    fixture.order(vec![key(2)], CAPACITY);
    assert_eq!(fixture.started(), vec![]);
    fixture.answer_poll(running(&[(key(1), 40)]));
    assert_eq!(fixture.started(), vec![]);
    fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Stopped)]));

    assert_eq!(fixture.started(), vec![key(2)]);
}

#[test]
fn keeps_the_resources_of_a_start_without_an_answer() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], CAPACITY);
    fixture.answer(is_start, Answer::Unknown);

    fixture.order(vec![key(2)], CAPACITY);

    assert_eq!(fixture.started(), vec![key(1)]);
}

#[test]
fn an_order_that_arrives_twice_starts_one_run() {
    let mut fixture = Fixture::open();

    fixture.order(vec![key(1)], 100);
    fixture.order(vec![key(1)], 100);

    assert_eq!(fixture.started(), vec![key(1)]);
}

/// Sends a heartbeat of the present instance with a capacity and a number.
fn resize(fixture: &mut Fixture, cpu: u32, sequence: u64) {
    let beat = heartbeat("i-1", HeartbeatState::Ready);
    let info = EndpointInfo { cpu, ..beat.info.clone() };
    fixture.event(Event::Heartbeat(Heartbeat { sequence: Some(sequence), info, ..beat }));
    fixture.probe();
}

// Guards against starts by the capacity that an endpoint had when it registered.
#[test]
fn a_capacity_that_shrinks_leaves_runs_alone_and_starts_no_other() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 600);
    fixture.accept_start();
    fixture.calls.clear();

    resize(&mut fixture, 800, 2);
    fixture.order(vec![key(2)], 300);

    assert_eq!(fixture.unanswered(is_stop), vec![]);
    assert_eq!(fixture.started(), vec![]);
    assert_eq!(fixture.report.cpu, 0);
    assert_eq!(fixture.report.endpoint.as_ref().map(|it| it.cpu), Some(800));
    assert_eq!(fixture.report.health, Health::Open);
}

#[test]
fn a_run_that_waits_starts_once_the_capacity_has_grown_back() {
    let mut fixture = Fixture::open();
    resize(&mut fixture, 0, 2);
    fixture.order(vec![key(1)], 300);
    assert_eq!(fixture.started(), vec![]);

    resize(&mut fixture, CAPACITY, 3);

    assert_eq!(fixture.started(), vec![key(1)]);
}

// Guards against a late heartbeat that brings back a capacity which has shrunk since.
#[test]
fn a_capacity_in_an_earlier_heartbeat_is_ignored() {
    let mut fixture = Fixture::open();
    resize(&mut fixture, 200, 3);

    resize(&mut fixture, CAPACITY, 2);
    fixture.order(vec![key(1)], 300);

    assert_eq!(fixture.started(), vec![]);
    assert_eq!(fixture.report.endpoint.as_ref().map(|it| it.cpu), Some(200));
}
