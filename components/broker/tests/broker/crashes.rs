//! Tasks whose endpoints crash: where they run again, and when their jobs are given up.

use std::net::SocketAddrV4;

use broker::{Event, Reply};
use mesh::{Crash, CrashState, CrashedTask, Crashes, End, JobId, RunKey};

use crate::fixture::{CAPACITY, Fixture, address, step, submission};

/// A job with one small task among others, placed on an entry with this many agents.
fn fixture(agents: u8) -> (Fixture, u64) {
    let mut fixture = Fixture::new(agents);
    let request = fixture.submit(submission(1, vec![step(1, 100)]));
    (fixture, request)
}

/// Agent and run of the only task in progress.
fn run_of(fixture: &Fixture, job: u64) -> (SocketAddrV4, RunKey) {
    let runs = fixture.runs();
    *runs.iter().find(|(_, it)| it.job == JobId(job)).expect("a run of the job")
}

fn task(job: u64, age: u32) -> CrashedTask {
    CrashedTask { job: JobId(job), step: 0, index: 0, age }
}

/// Reports a crash with these tasks, the last started first.
fn report(
    fixture: &mut Fixture,
    from: SocketAddrV4,
    number: u64,
    state: CrashState,
    tasks: &[CrashedTask],
) {
    let crashes = vec![Crash { number, state, tasks: tasks.to_vec() }];
    let crashes = Crashes { incarnation: 1, session: 2, revision: number, crashes };
    fixture.event(Event::Crashes { from, crashes });
}

/// Crashes the endpoint under the run of a job, beside those of other jobs.
fn crash(
    fixture: &mut Fixture,
    job: u64,
    state: CrashState,
    beside: &[CrashedTask],
) -> SocketAddrV4 {
    let (agent, run) = run_of(fixture, job);
    let mut tasks = vec![task(job, 10)];
    tasks.extend(beside);
    report(fixture, agent, u64::from(run.run), state, &tasks);
    fixture.end(agent, run, End::Lost);
    agent
}

/// Cores of the run of a job, in thousandths.
fn ordered_cpu(fixture: &Fixture, job: u64) -> u32 {
    let (agent, run) = run_of(fixture, job);
    let runs = &fixture.agents[&agent].runs;
    runs.iter().find(|(it, _)| *it == run).expect("a run").1
}

/// Reports crashes of two endpoints under a task of another job, equally long after its start.
fn begin_outbreak(fixture: &mut Fixture, state: CrashState) {
    for (number, agent) in [(101, address(3)), (102, address(4))] {
        report(fixture, agent, number, state, &[task(99, 12)]);
    }
}

// Guards against runs that take a whole endpoint each because endpoints are silent for a while.
#[test]
fn a_task_runs_as_before_after_a_single_suspected_crash() {
    let (mut fixture, _) = fixture(4);

    crash(&mut fixture, 1, CrashState::Suspected, &[task(2, 50)]);

    assert_eq!(ordered_cpu(&fixture, 1), 100);
}

// Guards against runs that take a whole endpoint each after many endpoints have become silent or
// have crashed at once, with no task in common.
#[test]
fn silent_endpoints_without_a_common_task_make_no_task_suspect() {
    let (mut fixture, _) = fixture(8);
    for (number, agent) in (2..=7).map(|it| (u64::from(it), address(it))) {
        let tasks = [task(10 + number, 12), task(20 + number, 90)];
        report(&mut fixture, agent, number, CrashState::Suspected, &tasks);
    }

    crash(&mut fixture, 1, CrashState::Suspected, &[task(2, 50)]);

    assert_eq!(ordered_cpu(&fixture, 1), 100);
}

#[test]
fn a_task_that_started_last_before_a_confirmed_crash_runs_with_the_whole_endpoint() {
    let (mut fixture, _) = fixture(4);

    crash(&mut fixture, 1, CrashState::Confirmed, &[task(2, 50)]);

    assert_eq!(ordered_cpu(&fixture, 1), CAPACITY);
}

#[test]
fn a_task_under_which_two_endpoints_may_have_crashed_runs_with_the_whole_endpoint() {
    let (mut fixture, _) = fixture(4);

    crash(&mut fixture, 1, CrashState::Suspected, &[task(2, 50)]);
    crash(&mut fixture, 1, CrashState::Suspected, &[task(3, 70)]);

    assert_eq!(ordered_cpu(&fixture, 1), CAPACITY);
}

#[test]
fn a_task_that_started_last_before_a_suspected_crash_runs_apart_during_an_outbreak() {
    let (mut fixture, _) = fixture(6);
    begin_outbreak(&mut fixture, CrashState::Suspected);

    crash(&mut fixture, 1, CrashState::Suspected, &[task(2, 50)]);

    assert_eq!(ordered_cpu(&fixture, 1), CAPACITY);
}

#[test]
fn an_outbreak_ends_with_the_suspicion_that_began_it() {
    let (mut fixture, _) = fixture(6);
    begin_outbreak(&mut fixture, CrashState::Suspected);
    begin_outbreak(&mut fixture, CrashState::Dismissed);

    crash(&mut fixture, 1, CrashState::Suspected, &[task(2, 50)]);

    assert_eq!(ordered_cpu(&fixture, 1), 100);
}

#[test]
fn an_outbreak_ends_after_calm() {
    let (mut fixture, _) = fixture(6);
    begin_outbreak(&mut fixture, CrashState::Confirmed);
    fixture.advance(31_000);
    let request = fixture.submit(submission(5, vec![step(1, 100)]));
    assert_eq!(fixture.answer(request), None);

    crash(&mut fixture, 5, CrashState::Suspected, &[task(2, 50)]);

    assert_eq!(ordered_cpu(&fixture, 5), 100);
}

#[test]
fn a_task_that_started_long_before_a_crash_runs_as_before() {
    let (mut fixture, _) = fixture(4);
    let (agent, run) = run_of(&fixture, 1);

    let tasks = [task(3, 5), task(4, 8), task(1, 200)];
    report(&mut fixture, agent, 1, CrashState::Confirmed, &tasks);
    fixture.end(agent, run, End::Lost);

    assert_eq!(ordered_cpu(&fixture, 1), 100);
}

// Guards against a task that crashes one endpoint after the other until its caller gives up.
#[test]
fn a_job_is_given_up_once_it_has_crashed_an_endpoint_that_it_had_for_itself() {
    let (mut fixture, request) = fixture(4);

    crash(&mut fixture, 1, CrashState::Confirmed, &[task(2, 50)]);
    crash(&mut fixture, 1, CrashState::Confirmed, &[]);

    assert_eq!(fixture.answer(request), Some(Reply::Failed));
}

// Guards against sound jobs that are given up because their endpoints were cut off.
#[test]
fn a_task_waits_until_it_is_known_whether_its_endpoints_have_crashed() {
    let (mut fixture, request) = fixture(4);
    let first = crash(&mut fixture, 1, CrashState::Confirmed, &[task(2, 50)]);
    let second = crash(&mut fixture, 1, CrashState::Suspected, &[]);
    fixture.advance(1_000);
    assert_ne!(first, second);
    assert_eq!((fixture.runs(), fixture.answer(request)), (vec![], None));

    report(&mut fixture, second, 2, CrashState::Dismissed, &[task(1, 10)]);

    assert_eq!(ordered_cpu(&fixture, 1), CAPACITY);
    assert_eq!(fixture.answer(request), None);
}

#[test]
fn a_job_is_given_up_after_three_crashes_whatever_else_ran() {
    let (mut fixture, request) = fixture(5);

    for (number, age) in [(1, 10), (2, 400), (3, 800)] {
        let (agent, run) = run_of(&fixture, 1);
        let tasks = [task(1, age), task(9, 900)];
        report(&mut fixture, agent, number, CrashState::Confirmed, &tasks);
        assert_eq!(fixture.answer(request).is_some(), number == 3);
        fixture.end(agent, run, End::Lost);
    }

    assert_eq!(fixture.answer(request), Some(Reply::Failed));
}

// Guards against a sound job that is given up because one endpoint crashes again and again.
#[test]
fn two_crashes_of_one_endpoint_do_not_suffice_to_give_up_a_job() {
    let mut fixture = Fixture::new(4);
    for number in 1..=2 {
        report(&mut fixture, address(1), number, CrashState::Confirmed, &[task(1, 10)]);
    }

    let request = fixture.submit(submission(1, vec![step(1, 100)]));

    assert_eq!(fixture.answer(request), None);
    assert_eq!(ordered_cpu(&fixture, 1), CAPACITY);
}

// Guards against a count of crashes that begins anew at the entry to which a job is sent next.
#[test]
fn a_job_that_other_entries_have_ordered_is_judged_by_what_agents_report() {
    let mut fixture = Fixture::new(4);
    let crashes = [(1, address(1)), (2, address(2))];
    for (number, agent) in crashes {
        report(&mut fixture, agent, number, CrashState::Confirmed, &[task(1, 10)]);
    }

    let request = fixture.submit(submission(1, vec![step(1, 100)]));

    assert_eq!(fixture.answer(request), Some(Reply::Failed));
    assert_eq!(fixture.runs(), vec![]);
    assert_eq!(fixture.crashes_seen.len(), 2);
}

#[test]
fn crashes_count_against_no_other_task_once_a_job_is_known_to_have_caused_them() {
    let mut fixture = Fixture::new(4);
    let both = [task(1, 10), task(2, 12)];
    report(&mut fixture, address(1), 1, CrashState::Confirmed, &both);
    report(&mut fixture, address(2), 1, CrashState::Confirmed, &[task(1, 10)]);

    fixture.submit(submission(2, vec![step(1, 100)]));

    assert_eq!(ordered_cpu(&fixture, 2), 100);
}

#[test]
fn a_late_or_repeated_report_changes_nothing() {
    let (mut fixture, request) = fixture(4);
    let agent = crash(&mut fixture, 1, CrashState::Dismissed, &[]);

    report(&mut fixture, agent, 1, CrashState::Suspected, &[task(1, 10)]);
    report(&mut fixture, agent, 1, CrashState::Confirmed, &[task(1, 10)]);

    assert_eq!(fixture.answer(request), None);
    assert_eq!(ordered_cpu(&fixture, 1), 100);
}

#[test]
fn a_report_from_an_unknown_sender_is_ignored() {
    let (mut fixture, request) = fixture(4);

    for number in 1..=3 {
        report(&mut fixture, address(99), number, CrashState::Confirmed, &[task(1, 10)]);
    }

    assert_eq!(fixture.answer(request), None);
    assert_eq!(fixture.crashes_seen, vec![]);
}

// Guards against jobs of others that wait behind one that must run apart.
#[test]
fn jobs_do_not_wait_behind_a_task_that_is_held() {
    let (mut fixture, _) = fixture(4);
    crash(&mut fixture, 1, CrashState::Suspected, &[task(2, 50)]);
    crash(&mut fixture, 1, CrashState::Suspected, &[]);

    fixture.submit(submission(5, vec![step(1, 100)]));

    assert_eq!(ordered_cpu(&fixture, 5), 100);
}
