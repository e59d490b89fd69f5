//! Placement, results, failures and deadlines of jobs.

mod support;

use std::time::Duration;

use ident::NodeId;
use jobs::{Action, TaskResult};
use serde_json::{Value, json};
use support::{BUDGET, CORES, NOW, answer, id, jobs, spec};
use verdict::{Answer, Outcome, Reason, Refusal, Verdict};
use wire::{JobSpec, JobStatus, StartTask, TaskSpec};

fn starts(actions: &[Action]) -> Vec<&StartTask> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start { start, .. } => Some(start),
        _ => None,
    });
    starts.collect()
}

fn outcome(actions: &[Action]) -> Option<&Outcome> {
    actions.iter().find_map(|action| match action {
        Action::Ended { outcome, .. } => Some(outcome),
        _ => None,
    })
}

fn stops(actions: &[Action]) -> Vec<NodeId> {
    let stops = actions.iter().filter_map(|action| match action {
        Action::Stop { node, .. } => Some(*node),
        _ => None,
    });
    stops.collect()
}

fn refusal(actions: &[Action]) -> &Refusal {
    match outcome(actions) {
        Some(Outcome::Refused(refusal)) => refusal,
        other => panic!("the job was not refused: {other:?}"),
    }
}

fn body(actions: &[Action]) -> Value {
    match outcome(actions) {
        Some(Outcome::Done(answer)) => serde_json::from_slice(&answer.body).unwrap(),
        other => panic!("the job has no answer: {other:?}"),
    }
}

#[test]
fn answers_with_all_results_in_task_order() {
    let mut jobs = jobs(2);
    jobs.submit(spec(1, 3, 1), NOW);

    let second = jobs.on_task_result(id(1), 1, TaskResult::Done(answer("b")), NOW);
    let third = jobs.on_task_result(id(1), 2, TaskResult::Done(answer("c")), NOW);
    let status = jobs.status(id(1));
    let binary = Answer { status: 201, body: vec![0xff] };
    let first = jobs.on_task_result(id(1), 0, TaskResult::Done(binary), NOW);

    assert_eq!((outcome(&second), outcome(&third)), (None, None));
    assert_eq!(status, Some(JobStatus::Running { done: 2, total: 3 }));
    let expected = json!([
        {"status": 201, "bytes": [255]},
        {"status": 200, "body": "b"},
        {"status": 200, "body": "c"},
    ]);
    assert_eq!(body(&first), expected);
    assert!(jobs.is_empty());
}

#[test]
fn fails_at_once_and_stops_the_rest_when_a_task_fails() {
    let mut jobs = jobs(3);
    let started = jobs.submit(spec(1, 3, CORES), NOW);
    let failed = Answer { status: 500, body: Vec::new() };

    let actions = jobs.on_task_result(id(1), 0, TaskResult::Done(failed), NOW);

    assert_eq!(starts(&started).len(), 3);
    assert_eq!(refusal(&actions).reason, Reason::TaskFailed);
    assert_eq!(refusal(&actions).verdict(), Verdict::MayHaveRun);
    assert_eq!(stops(&actions).len(), 3);
}

#[test]
fn fails_when_a_result_is_lost_and_never_starts_that_task_again() {
    let mut jobs = jobs(2);
    jobs.submit(spec(1, 1, 1), NOW);

    let actions = jobs.on_task_result(id(1), 0, TaskResult::Lost, NOW);
    let later = jobs.tick(NOW + BUDGET);

    assert_eq!(refusal(&actions).reason, Reason::ConnectionLost);
    assert_eq!(refusal(&actions).verdict(), Verdict::MayHaveRun);
    assert_eq!(starts(&later).len(), 0);
}

#[test]
fn starts_a_refused_task_on_another_worker() {
    let mut jobs = jobs(2);
    let first = jobs.submit(spec(1, 1, 1), NOW);

    let second = jobs.on_task_result(id(1), 0, TaskResult::Refused, NOW);

    let node = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Start { node, .. } => Some(*node),
            _ => None,
        })
    };
    assert!(node(&second).is_some());
    assert_ne!(node(&first), node(&second));
}

#[test]
fn avoids_a_worker_after_server_errors_but_not_after_client_errors() {
    let mut jobs = jobs(4);
    jobs.submit(spec(0, 3, CORES), NOW);
    let mut fail = |number: u16, status: u16| {
        let started = jobs.submit(spec(number, 1, 1), NOW);
        let failed = Answer { status, body: Vec::new() };
        jobs.on_task_result(id(number), 0, TaskResult::Done(failed), NOW);
        starts(&started).len()
    };

    let client_errors = [fail(1, 422), fail(2, 422), fail(3, 422)];
    let server_errors = [fail(4, 500), fail(5, 500), fail(6, 500)];

    assert_eq!((client_errors, server_errors), ([1, 1, 1], [1, 1, 0]));
}

#[test]
fn refuses_a_job_as_not_run_when_every_worker_keeps_refusing() {
    let mut jobs = jobs(2);
    let mut now = NOW;
    let long_budget = JobSpec { budget: BUDGET * 60, ..spec(1, 1, 1) };
    let mut actions = jobs.submit(long_budget, now);
    let mut attempts = 0;

    while outcome(&actions).is_none() {
        now = now + Duration::from_millis(100);
        attempts += starts(&actions).len();
        actions = match starts(&actions).is_empty() {
            true => jobs.tick(now),
            false => jobs.on_task_result(id(1), 0, TaskResult::Refused, now),
        };
    }

    assert_eq!(attempts, 32);
    assert_eq!(refusal(&actions).verdict(), Verdict::NotRun);
    assert_eq!(refusal(&actions).reason, Reason::Overloaded);
}

#[test]
fn refuses_a_job_that_can_never_fit_with_the_reason() {
    let mut jobs = jobs(2);
    let mut too_large = spec(1, 3, 1);
    too_large.tasks[2].cores = CORES + 1;

    let actions = jobs.submit(too_large, NOW);

    assert_eq!(starts(&actions).len(), 0);
    assert_eq!(refusal(&actions).verdict(), Verdict::NotRun);
    assert_eq!(refusal(&actions).reason, Reason::CannotFit);
    assert_eq!(
        refusal(&actions).message,
        "tasks[2].cores is 9, but \"w0\", the largest worker for such a task, has 8; \
         declare at most that"
    );
}

#[test]
fn refuses_a_job_that_declares_to_run_past_its_deadline() {
    let mut jobs = jobs(2);
    let mut long = spec(1, 1, 1);
    long.tasks[0].run_ms = 11_000;

    let actions = jobs.submit(long, NOW);

    assert_eq!(refusal(&actions).reason, Reason::DeadlineMissed);
    assert_eq!(refusal(&actions).verdict(), Verdict::NotRun);
}

#[test]
fn starts_waiting_tasks_when_capacity_is_freed() {
    let mut jobs = jobs(1);
    jobs.submit(spec(1, 1, CORES), NOW);
    let waiting = jobs.submit(spec(2, 1, CORES), NOW);

    let actions = jobs.on_task_result(id(1), 0, TaskResult::Done(answer("")), NOW);

    assert_eq!(starts(&waiting).len(), 0);
    assert_eq!(starts(&actions)[0].job, id(2));
}

#[test]
fn starts_urgent_jobs_first_until_others_have_waited() {
    let mut jobs = jobs(1);
    let later = |number| JobSpec { urgency: "later".to_owned(), ..spec(number, 1, CORES) };
    jobs.submit(spec(1, 1, CORES), NOW);
    jobs.submit(later(2), NOW);
    jobs.submit(spec(3, 1, CORES), NOW + Duration::from_millis(900));
    jobs.submit(spec(4, 1, CORES), NOW + Duration::from_millis(1100));
    let mut order = Vec::new();

    let now = NOW + Duration::from_millis(1200);
    for job in [1, 3, 2] {
        let actions = jobs.on_task_result(id(job), 0, TaskResult::Done(answer("")), now);
        order.push(starts(&actions)[0].job);
    }

    assert_eq!(order, [id(3), id(2), id(4)]);
}

#[test]
fn keeps_smaller_jobs_from_starving_a_large_one() {
    let mut jobs = jobs(1);
    jobs.submit(spec(1, 1, 1), NOW);
    jobs.submit(spec(2, 1, CORES), NOW);

    let early = jobs.submit(spec(3, 1, 1), NOW + BUDGET / 4);
    let late = jobs.submit(spec(4, 1, 1), NOW + BUDGET / 2);

    assert_eq!(starts(&early).len(), 1);
    assert_eq!(starts(&late).len(), 0);
}

#[test]
fn refuses_a_job_that_would_wait_too_long_and_sets_retry_after() {
    let mut jobs = jobs(1);
    jobs.submit(spec(1, 1, CORES), NOW);
    jobs.submit(spec(2, 1, CORES), NOW);
    let wait = Duration::from_secs(4);
    let short_budget = JobSpec { budget: Duration::from_secs(2), ..spec(3, 1, CORES) };

    let actions = jobs.submit(short_budget, NOW + wait);

    assert_eq!(refusal(&actions).reason, Reason::Overloaded);
    assert_eq!(refusal(&actions).verdict(), Verdict::NotRun);
    assert_eq!(refusal(&actions).retry_after, Some(wait));
}

#[test]
fn renews_leases_until_the_deadline_ends_the_job() {
    let mut jobs = jobs(1);
    jobs.submit(spec(1, 2, 1), NOW);

    let early = jobs.tick(NOW + Duration::from_millis(900));
    let renewal = jobs.tick(NOW + Duration::from_millis(1100));
    let end = jobs.tick(NOW + BUDGET);

    assert_eq!(early, []);
    assert!(matches!(renewal.as_slice(), [Action::Renew { job, .. }] if *job == id(1)));
    assert_eq!(refusal(&end).reason, Reason::DeadlineMissed);
    assert_eq!(refusal(&end).verdict(), Verdict::MayHaveRun);
    assert_eq!(stops(&end).len(), 1);
}

#[test]
fn cancels_a_waiting_job_as_not_run_and_a_started_one_as_may_have_run() {
    let mut jobs = jobs(1);
    jobs.submit(spec(1, 1, CORES), NOW);
    jobs.submit(spec(2, 1, CORES), NOW);

    let waiting = jobs.cancel(id(2), NOW);
    let started = jobs.cancel(id(1), NOW);

    assert_eq!(refusal(&waiting).verdict(), Verdict::NotRun);
    assert_eq!(refusal(&started).verdict(), Verdict::MayHaveRun);
    assert_eq!(jobs.cancel(id(1), NOW), []);
}

#[test]
fn frees_all_capacity_after_many_cancellations() {
    let mut jobs = jobs(4);
    for number in 0..2000 {
        jobs.submit(spec(number, 5, 3), NOW);
        jobs.cancel(id(number), NOW);
        jobs.on_task_result(id(number), 0, TaskResult::Done(answer("late")), NOW);
    }

    let actions = jobs.submit(spec(2000, 4, CORES), NOW);

    assert_eq!(starts(&actions).len(), 4);
    assert_eq!(jobs.len(), 1);
}

#[test]
fn ignores_the_resubmission_of_a_running_job() {
    let mut jobs = jobs(1);
    jobs.submit(spec(1, 1, 1), NOW);

    let again = jobs.submit(spec(1, 1, 1), NOW);

    assert_eq!(again, []);
}

#[test]
fn refuses_jobs_without_tasks_and_tasks_without_cores() {
    let mut jobs = jobs(1);
    let no_cores = TaskSpec { cores: 0, ..spec(2, 1, 1).tasks[0].clone() };

    let empty = jobs.submit(spec(1, 0, 1), NOW);
    let coreless = jobs.submit(JobSpec { tasks: vec![no_cores], ..spec(2, 1, 1) }, NOW);

    assert_eq!(refusal(&empty).reason, Reason::Invalid);
    assert_eq!(refusal(&coreless).message, "tasks[0].cores is 0; declare at least 1");
}
