//! Endpoints that fail or stall runs are ejected until a trial succeeds; the slowdown is reported.

use guard::{RunOutcome, Snapshot};
use mesh::{End, Health, Notice, RunKey};

use crate::fixture::{Fixture, ended, is_stop, key, running};

/// Runs the only task of a job to the given outcome.
fn run(fixture: &mut Fixture, job: u64, outcome: RunOutcome) {
    fixture.order(vec![key(job)], 100);
    fixture.accept_start();
    fixture.answer_poll(ended(job, &[(key(job), outcome)]));
    fixture.answer_poll(Snapshot::default());
    fixture.probe();
}

#[test]
fn ejects_an_endpoint_that_fails_tasks_of_two_jobs_in_a_row() {
    let mut fixture = Fixture::open();

    run(&mut fixture, 1, RunOutcome::Failed);
    assert_eq!(fixture.report.health, Health::Open);
    run(&mut fixture, 2, RunOutcome::Failed);

    assert_eq!(fixture.report.health, Health::Closed);
}

#[test]
fn keeps_an_endpoint_open_when_only_one_job_fails() {
    let mut fixture = Fixture::open();
    for index in 0..4 {
        let run = RunKey { index, ..key(1) };
        fixture.order(vec![run], 100);
        fixture.accept_start();
        fixture.answer_poll(ended(u64::from(index) + 1, &[(run, RunOutcome::Failed)]));
        fixture.answer_poll(Snapshot::default());
    }
    fixture.probe();

    assert_eq!(fixture.report.health, Health::Open);
}

#[test]
fn tries_an_ejected_endpoint_with_one_task_and_opens_it_after_success() {
    let mut fixture = Fixture::open();
    run(&mut fixture, 1, RunOutcome::Failed);
    run(&mut fixture, 2, RunOutcome::Failed);

    fixture.advance_connected(1_000, &Snapshot::default());
    assert_eq!(fixture.report.health, Health::Trial);
    fixture.order(vec![key(3), key(4)], 100);
    assert_eq!(fixture.started(), vec![key(3)]);
    fixture.accept_start();
    fixture.answer_poll(ended(3, &[(key(3), RunOutcome::Done)]));
    fixture.probe();

    assert_eq!(fixture.report.health, Health::Open);
}

#[test]
fn stops_a_run_that_makes_no_progress_and_ejects_the_endpoint() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();

    fixture.advance_connected(400, &running(&[(key(1), 0)]));

    assert_eq!(fixture.unanswered(is_stop).len(), 1);
    assert_eq!(fixture.report.health, Health::Closed);
    fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Stopped)]));
    fixture.probe();
    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Stalled, .. }]));
}

#[test]
fn a_slow_run_that_makes_progress_is_not_stopped() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();

    for percent in 1..20 {
        fixture.advance_connected(100, &running(&[(key(1), percent)]));
    }

    assert_eq!(fixture.unanswered(is_stop), vec![]);
}

#[test]
fn reports_how_slow_the_endpoint_is() {
    let mut fixture = Fixture::open();
    for job in 1..20 {
        fixture.order(vec![key(job)], 100);
        fixture.accept_start();
        fixture.advance_connected(800, &running(&[(key(job), 50)]));
        fixture.answer_poll(ended(job, &[(key(job), RunOutcome::Done)]));
        fixture.probe();
    }

    assert!(fixture.report.slowness > 250, "slowness is {}", fixture.report.slowness);
}
