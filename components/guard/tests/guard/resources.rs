//! The capacity of an endpoint is never exceeded.

use guard::{Answer, RunOutcome};
use mesh::{End, Notice, Refusal};

use crate::fixture::{CAPACITY, Fixture, ended, is_start, is_stop, key, running};

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
