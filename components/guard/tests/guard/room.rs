//! Room of runs that are about to end, at full load with short runs.

use guard::RunOutcome;
use mesh::{Notice, Refusal};

use crate::fixture::{CAPACITY, Fixture, ended, key, running};

/// An agent whose endpoint is filled by a run with the given progress after 190 of 200 ms.
fn fixture(percent: u32) -> Fixture {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], CAPACITY);
    fixture.accept_start();
    fixture.advance_connected(150, &running(&[(key(1), percent.min(75))]));
    fixture.advance(40);
    fixture.answer_poll(running(&[(key(1), percent)]));
    fixture
}

#[test]
fn the_room_of_a_run_about_to_end_is_shown_to_entries_whose_jobs_wait_alone() {
    let mut fixture = fixture(95);

    fixture.probe();
    let calm = fixture.report.cpu;
    fixture.probe_waiting(50);

    assert_eq!(calm, 0);
    assert_eq!(fixture.report.cpu, CAPACITY);
}

// Guards against an endpoint that idles for some ms after each run while jobs wait.
#[test]
fn a_run_ordered_before_the_end_of_another_starts_with_it() {
    let mut fixture = fixture(95);

    fixture.order(vec![key(2)], CAPACITY);
    fixture.probe_waiting(50);
    let shown = fixture.report.cpu;
    assert!(fixture.started().is_empty());
    fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Done)]));

    assert_eq!(shown, 0, "the room is ordered");
    assert_eq!(fixture.started(), vec![key(2)]);
}

#[test]
fn the_room_of_a_run_with_most_of_its_work_ahead_is_not_shown() {
    let mut fixture = fixture(60);

    fixture.probe_waiting(50);

    assert_eq!(fixture.report.cpu, 0);
}

// Guards against orders that wait at an endpoint which hangs and reports healthy.
#[test]
fn the_room_of_a_run_that_makes_no_progress_is_not_shown() {
    let mut fixture = fixture(95);
    fixture.advance(60);
    fixture.answer_poll(running(&[(key(1), 95)]));
    fixture.advance(60);
    fixture.answer_poll(running(&[(key(1), 95)]));

    fixture.probe_waiting(50);

    assert_eq!(fixture.report.cpu, 0);
}

#[test]
fn an_order_is_refused_in_time_if_the_run_goes_on() {
    let mut fixture = fixture(95);
    fixture.order(vec![key(2)], CAPACITY);

    fixture.advance_connected(100, &running(&[(key(1), 96)]));

    let refused = Notice::Refused { key: key(2), refusal: Refusal::Room };
    assert!(fixture.notices.contains(&refused), "{:?}", fixture.notices);
    assert!(fixture.started().is_empty());
}
