//! Tests of the shutdown: an entry answers the jobs that it has accepted.

use broker::{Event, Reply};

use crate::fixture::{Fixture, step, submission};

#[test]
fn an_entry_that_shuts_down_still_accepts_jobs_that_it_can_finish() {
    let mut fixture = Fixture::new(1);
    fixture.event(Event::Shutdown);
    fixture.advance(2_000);

    let request = fixture.submit(submission(1, vec![step(1, 100)]));
    fixture.end_all();

    assert_eq!(fixture.answer(request), Some(Reply::Completed));
}

#[test]
fn an_entry_that_is_about_to_exit_refuses_jobs_at_once() {
    let mut fixture = Fixture::new(1);
    fixture.submit(submission(1, vec![step(1, 100)]));
    fixture.event(Event::Shutdown);
    for _ in 0..51 {
        fixture.advance(100);
    }

    let request = fixture.submit(submission(2, vec![step(1, 100)]));

    assert!(matches!(fixture.answer(request), Some(Reply::Refused { .. })));
}

#[test]
fn an_entry_exits_once_its_last_job_is_answered() {
    let mut fixture = Fixture::new(1);
    fixture.submit(submission(1, vec![step(1, 100)]));
    fixture.event(Event::Shutdown);

    fixture.advance(2_800);
    assert!(!fixture.finished);
    fixture.end_all();
    fixture.advance(50);

    assert!(fixture.finished);
}
