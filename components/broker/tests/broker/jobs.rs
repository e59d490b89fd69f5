//! Tests that each job is answered once, when it is complete, and with the right outcome.

use broker::{Event, OrderCounts, Reply, Status, Step};
use mesh::{End, JobId, Refusal};

use crate::fixture::{Fixture, address, step, submission};

#[test]
fn answers_a_job_when_its_last_task_is_done() {
    let mut fixture = Fixture::new(2);
    let request = fixture.submit(submission(1, vec![step(3, 500)]));
    let runs = fixture.runs();

    fixture.end(runs[0].0, runs[0].1, End::Done);
    fixture.end(runs[1].0, runs[1].1, End::Done);
    assert_eq!(fixture.answer(request), None);
    fixture.end(runs[2].0, runs[2].1, End::Done);

    assert_eq!(fixture.answer(request), Some(Reply::Completed));
}

#[test]
fn runs_a_step_after_those_that_it_follows() {
    let mut fixture = Fixture::new(1);
    let after = Step { after: vec![0], ..step(1, 100) };
    let request = fixture.submit(submission(1, vec![step(2, 100), after]));

    assert!(fixture.runs().iter().all(|(_, key)| key.step == 0));
    fixture.end_all();
    assert!(fixture.runs().iter().all(|(_, key)| key.step == 1));
    fixture.end_all();

    assert_eq!(fixture.answer(request), Some(Reply::Completed));
}

#[test]
fn runs_a_failed_task_again_at_another_endpoint() {
    let mut fixture = Fixture::new(2);
    fixture.submit(submission(1, vec![step(1, 100)]));
    let (first, key) = fixture.runs()[0];

    fixture.end(first, key, End::Failed);

    let (second, again) = fixture.runs()[0];
    assert_ne!(first, second);
    assert_eq!(again.run, 2);
}

#[test]
fn fails_a_job_only_after_as_many_failures_as_its_route_allows() {
    let mut fixture = Fixture::new(3);
    let request = fixture.submit(submission(1, vec![step(2, 100)]));

    let (at, key) = fixture.runs()[0];
    fixture.end(at, key, End::Lost);
    let (at, key) = fixture.runs().into_iter().find(|(_, it)| it.run == 2).expect("a second run");
    fixture.end(at, key, End::Failed);
    assert_eq!(fixture.answer(request), None);
    let (at, key) = fixture.runs().into_iter().find(|(_, it)| it.run == 3).expect("a third run");
    fixture.end(at, key, End::Failed);

    assert_eq!(fixture.answer(request), Some(Reply::Failed));
    assert!(fixture.runs().is_empty(), "what is left of the job is stopped");
}

#[test]
fn counts_ordered_runs_and_refusals_by_cause() {
    let mut fixture = Fixture::new(2);
    fixture.submit(submission(1, vec![step(2, 100)]));
    for refusal in [Refusal::Room, Refusal::Room, Refusal::Closed] {
        let (at, key) = fixture.runs()[0];

        fixture.refuse(at, key, refusal);
    }

    let expected = OrderCounts { ordered: 5, room: 2, closed: 1, ..OrderCounts::default() };
    assert_eq!(fixture.broker.order_counts(), expected);
}

#[test]
fn places_a_refused_run_again() {
    let mut fixture = Fixture::new(2);
    fixture.submit(submission(1, vec![step(1, 100)]));
    let (at, key) = fixture.runs()[0];

    fixture.refuse(at, key, Refusal::Stale);

    assert_eq!(fixture.runs()[0].1.run, 2);
}

#[test]
fn stops_the_runs_of_a_caller_that_disconnected() {
    let mut fixture = Fixture::new(2);
    let request = fixture.submit(submission(1, vec![step(3, 500)]));

    fixture.event(Event::Disconnected { request_number: request });

    assert!(fixture.runs().is_empty());
}

#[test]
fn answers_every_caller_that_sends_the_same_job() {
    let mut fixture = Fixture::new(1);
    let first = fixture.submit(submission(1, vec![step(1, 100)]));
    let second = fixture.submit(submission(1, vec![step(1, 100)]));
    assert_eq!(fixture.runs().len(), 1);

    fixture.event(Event::Disconnected { request_number: first });
    fixture.end_all();
    let third = fixture.submit(submission(1, vec![step(1, 100)]));

    assert_eq!(fixture.answer(second), Some(Reply::Completed));
    assert_eq!(fixture.answer(third), Some(Reply::Completed));
}

/// A copy of the request that arrived after the cancel started the job again.
#[test]
fn does_not_run_a_cancelled_job_for_a_late_copy_of_its_request() {
    let mut fixture = Fixture::new(1);
    fixture.submit(submission(1, vec![step(1, 100)]));
    fixture.event(Event::Cancel { job: JobId(1) });

    let copy = fixture.submit(submission(1, vec![step(1, 100)]));

    assert_eq!(fixture.answer(copy), Some(Reply::Cancelled));
    assert!(fixture.runs().is_empty());
}

#[test]
fn ignores_notices_of_an_earlier_submission() {
    let mut fixture = Fixture::new(2);
    let first = fixture.submit(submission(1, vec![step(1, 100)]));
    let (at, earlier) = fixture.runs()[0];
    fixture.event(Event::Disconnected { request_number: first });
    fixture.submit(submission(1, vec![step(1, 100)]));
    let present = fixture.runs()[0].1;

    fixture.refuse(at, earlier, Refusal::Stale);

    assert!(present.run > earlier.run);
    assert_eq!(fixture.runs().iter().map(|(_, key)| *key).collect::<Vec<_>>(), vec![present]);
}

#[test]
fn refuses_an_expired_job_only_if_nothing_has_run() {
    let mut fixture = Fixture::new(1);
    let untouched = fixture.submit(submission(1, vec![step(1, 2_000)]));
    let started = fixture.submit(submission(2, vec![step(1, 100)]));

    fixture.advance(3_100);

    assert!(matches!(fixture.answer(untouched), Some(Reply::Refused { .. })));
    assert_eq!(fixture.answer(started), Some(Reply::GivenUp));
}

#[test]
fn gives_up_jobs_in_progress_after_the_host_was_suspended() {
    let mut fixture = Fixture::new(1);
    let request = fixture.submit(submission(1, vec![step(1, 100)]));

    fixture.now = fixture.now + 400;
    fixture.event(Event::Tick);

    assert_eq!(fixture.answer(request), Some(Reply::GivenUp));
}

// Guards against a job that starts after a suspension although its caller may have sent it to another
// entry: it was read before the suspension and waited in the queue of the process.
#[test]
fn refuses_a_job_that_was_read_before_the_host_was_suspended() {
    let mut fixture = Fixture::new(1);
    let arrived = fixture.now;
    let long = || vec![Step { declared: 2_000, ..step(1, 100) }];

    fixture.now = fixture.now + 400;
    let queued = fixture.submit_queued(arrived, submission(1, long()));
    let fresh = fixture.submit(submission(2, long()));
    fixture.advance(50);

    assert_eq!(fixture.answer(queued), Some(Reply::Refused { retry_after: 1_000 }));
    assert_eq!(fixture.answer(fresh), None);
    let jobs: Vec<_> = fixture.runs().iter().map(|(_, run)| run.job).collect();
    assert_eq!(jobs, [JobId(2)]);
}

// Guards against a cancelled job that runs for a late copy of its request: the cancellation waited
// in the queue of the process while the host was suspended, and the job was given up before it.
#[test]
fn a_job_that_is_cancelled_during_a_suspension_does_not_run_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(submission(1, vec![step(1, 100)]));
    fixture.now = fixture.now + 400;

    fixture.event(Event::Cancel { job: JobId(1) });
    let copy = fixture.submit(submission(1, vec![step(1, 100)]));
    fixture.advance(50);

    assert_eq!(fixture.broker.status(JobId(1)), Some(Status::Answered(Reply::Cancelled)));
    assert_eq!(fixture.answer(copy), Some(Reply::Cancelled));
    assert_eq!(fixture.runs(), []);
}

#[test]
fn counts_the_time_that_a_request_has_waited_towards_its_deadline() {
    let mut fixture = Fixture::new(1);
    let (recent, old) = (fixture.now - 200, fixture.now - 3_000);

    let in_time = fixture.submit_queued(recent, submission(1, vec![step(1, 100)]));
    let late = fixture.submit_queued(old, submission(2, vec![step(1, 100)]));
    fixture.advance(2_800);

    assert_eq!(fixture.answer(late), Some(Reply::Refused { retry_after: 1_000 }));
    assert_eq!(fixture.answer(in_time), Some(Reply::GivenUp));
}

// Guards against a job that starts for a caller who has stopped waiting: it waited in a socket while
// the host was suspended.
#[test]
fn refuses_a_job_whose_time_is_up_before_it_is_read() {
    let mut fixture = Fixture::new(1);
    let (recent, old) = (fixture.now + 3_000, fixture.now);
    fixture.now = fixture.now + 4_000;

    let late = fixture.submit_waited(old, fixture.now, submission(1, vec![step(1, 100)]));
    let in_time = fixture.submit_waited(recent, fixture.now, submission(2, vec![step(1, 100)]));
    fixture.advance(50);

    assert_eq!(fixture.answer(late), Some(Reply::Refused { retry_after: 1_000 }));
    assert_eq!(fixture.answer(in_time), None);
    let jobs: Vec<_> = fixture.runs().iter().map(|(_, run)| run.job).collect();
    assert_eq!(jobs, [JobId(2)]);
}

#[test]
fn reports_the_status_of_a_job() {
    let mut fixture = Fixture::new(1);
    fixture.submit(submission(1, vec![step(1, 100)]));

    assert_eq!(fixture.broker.status(JobId(1)), Some(Status::Running));
    fixture.end_all();
    assert_eq!(fixture.broker.status(JobId(1)), Some(Status::Answered(Reply::Completed)));
    assert_eq!(fixture.broker.status(JobId(2)), None);
}

#[test]
fn reports_no_status_for_a_refused_job() {
    let mut fixture = Fixture::new(1);
    let request = fixture.submit(submission(1, vec![step(1, 5_000)]));

    assert!(matches!(fixture.answer(request), Some(Reply::Refused { .. })));
    assert_eq!(fixture.broker.status(JobId(1)), None);
}

#[test]
fn respects_the_label_and_the_task_limit_of_a_step() {
    let mut fixture = Fixture::new(3);
    for last in 1..=2 {
        let agent = fixture.agents.get_mut(&address(last)).expect("an agent");
        agent.report.endpoint.as_mut().expect("an endpoint").labels = vec!["b".to_owned()];
    }
    fixture.advance(200);
    let labelled = Step { label: Some("b".to_owned()), per_endpoint: Some(1), ..step(2, 100) };

    fixture.submit(submission(1, vec![labelled]));

    let mut at: Vec<_> = fixture.runs().iter().map(|(at, _)| *at).collect();
    at.sort();
    assert_eq!(at, vec![address(1), address(2)]);
}

// Guards against an overflow of the number after that of the last step.
#[test]
fn runs_a_job_of_as_many_steps_as_can_be_numbered() {
    let mut fixture = Fixture::new(1);
    let mut steps = vec![step(0, 100); 65_534];
    steps.push(step(1, 100));

    fixture.submit(submission(1, steps));

    assert_eq!(fixture.runs()[0].1.step, 65_534);
}
