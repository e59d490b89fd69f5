//! Tasks that agents return because their endpoint leaves.

use broker::{Reply, Step, Submission};
use mesh::{End, Health};

use crate::fixture::{Fixture, address, step, submission};

/// An entry with a job of one task of 200 ms, placed at the first of two agents.
fn fixture() -> (Fixture, u64) {
    let mut fixture = Fixture::new(2);
    close(&mut fixture, 2, Health::Closed);
    let request = fixture.submit(submission(1, vec![step(1, 600)]));
    (fixture, request)
}

fn close(fixture: &mut Fixture, agent: u8, health: Health) {
    fixture.agents.get_mut(&address(agent)).expect("an agent").report.health = health;
    fixture.advance(200);
}

/// Ends the run of the job as stopped while its endpoint is closed.
fn return_run(fixture: &mut Fixture) {
    fixture.agents.get_mut(&address(1)).expect("an agent").report.health = Health::Closed;
    let (at, key) = fixture.runs()[0];
    fixture.end(at, key, End::Stopped);
}

// Guards against a job that comes after all others because its first step took long, though the
// returned task of its second step can still end in time; and against one that goes before them
// though it is late.
#[test]
fn a_returned_task_that_can_be_in_time_runs_before_later_jobs_and_any_other_after_them() {
    for (took, is_first) in [(300, true), (500, false)] {
        let (mut fixture, _) = fixture();
        fixture.end_all();
        let second = Step { after: vec![0], ..step(1, 600) };
        fixture.submit(submission(2, vec![step(1, 600), second]));
        fixture.advance(took);
        fixture.end_all();
        return_run(&mut fixture);
        fixture.submit(submission(3, vec![step(1, 600)]));

        close(&mut fixture, 2, Health::Open);

        let job = fixture.runs()[0].1.job.0;
        assert_eq!(job == 2, is_first, "{took}");
    }
}

// Guards against a caller that waits until its timeout for a job that cannot be answered in time.
#[test]
fn a_job_is_answered_at_once_if_its_returned_task_cannot_end_in_time() {
    let (mut fixture, request) = fixture();
    fixture.advance(900);

    return_run(&mut fixture);

    assert_eq!(fixture.answer(request), Some(Reply::GivenUp));
}

#[test]
fn a_returned_task_that_waits_too_long_for_room_is_given_up() {
    let mut fixture = Fixture::new(1);
    let patient = Submission { timeout: 60_000, ..submission(1, vec![step(1, 600)]) };
    let request = fixture.submit(patient);
    fixture.advance(100);
    return_run(&mut fixture);
    assert_eq!(fixture.answer(request), None);

    fixture.advance(900);

    assert_eq!(fixture.answer(request), Some(Reply::GivenUp));
}
