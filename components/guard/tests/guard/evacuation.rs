//! An agent whose availability zone the operator has evacuated.

use guard::{Answer, CallKind, Event, Rejection, ZoneState};
use mesh::{Health, Notice, Refusal};

use crate::fixture::{CAPACITY, Fixture, is_poll, is_start, is_stop, key, running};

/// An agent with a run in progress and a queued one, whose zone is evacuated then.
fn evacuated() -> Fixture {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1), key(2)], CAPACITY);
    fixture.accept_start();
    fixture.event(Event::Zone(ZoneState::Evacuated));
    fixture
}

#[test]
fn queued_runs_are_refused_and_counted() {
    let mut fixture = evacuated();

    fixture.probe();

    let refused = Notice::Refused { key: key(2), refusal: Refusal::Closed };
    assert_eq!(fixture.notices, vec![refused]);
    assert_eq!(fixture.guard.evacuation_refusals(), 1);
    assert_eq!(fixture.report.health, Health::Closed);
}

// Guards against orders of an entry that has not heard of the evacuation.
#[test]
fn starts_nothing_until_the_zone_is_taken_back() {
    let mut fixture = Fixture::open();
    fixture.event(Event::Zone(ZoneState::Evacuated));

    fixture.order(vec![key(1)], 100);
    let evacuated = fixture.started();
    fixture.event(Event::Zone(ZoneState::Served));
    fixture.order(vec![key(3)], 100);

    assert_eq!(evacuated, vec![]);
    assert_eq!(fixture.started(), vec![key(3)]);
}

// Guards against runs that end with their lease because nothing may start.
#[test]
fn runs_in_progress_continue_under_a_renewed_lease() {
    let mut fixture = evacuated();

    for percent in 1..=10 {
        fixture.advance_connected(100, &running(&[(key(1), percent)]));
    }

    let polls = fixture.unanswered(is_poll);
    let renewed = |kind: &CallKind| matches!(kind, CallKind::Hold { lease: Some(_), .. });
    assert!(polls.iter().any(|(_, call)| renewed(&call.kind)), "{polls:?}");
    assert_eq!(fixture.unanswered(is_stop), vec![]);
    assert_eq!(fixture.guard.active(), 1);
}

// Guards against a copy of a start that reaches the endpoint after the evacuation is known; the
// first copy may have been lost.
#[test]
fn no_copy_of_a_start_is_sent() {
    let answers = [
        (Answer::Unknown, 1),
        (Answer::Rejected(Rejection::Fence), 0),
        (Answer::Rejected(Rejection::Old), 0),
    ];
    for (answer, stops) in answers {
        let mut fixture = Fixture::open();
        fixture.order(vec![key(1)], 100);
        fixture.event(Event::Zone(ZoneState::Evacuated));

        fixture.advance(40);
        fixture.answer(is_start, answer.clone());

        assert_eq!(fixture.started(), vec![], "{answer:?}");
        assert_eq!(fixture.unanswered(is_stop).len(), stops, "{answer:?}");
    }
}

#[test]
fn takes_no_work_and_counts_no_evacuation_before_the_zones_are_known() {
    let mut fixture = Fixture::open();
    fixture.event(Event::Zone(ZoneState::Unknown));

    fixture.order(vec![key(1)], 100);

    assert_eq!(fixture.started(), vec![]);
    assert_eq!(fixture.guard.evacuation_refusals(), 0);
}
