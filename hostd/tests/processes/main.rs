//! End-to-end tests of the daemon: real processes on loopback with stand-ins of the platform.

mod deployment;
mod evacuation;
mod invariants;
mod process;
mod proxy;
mod soak;

use std::{net::SocketAddrV4, time::Duration};

use hyper::StatusCode;
use mesh::{Member, Role};
use nix::sys::signal::Signal;
use platform_standin::{Span, StartFault, job_text};
use tokio::time::{Instant, sleep};

use crate::{
    deployment::{DEFAULT_TIMEOUT_MS, Deployment, EXECUTOR_CPU, Layout, send_job, status, submit},
    invariants::{ObservedJob, overlaps, violations},
};

/// Duration of short tasks, in ms.
const SHORT_MS: &str = "40";
/// Duration of long tasks, in ms.
const LONG_MS: &str = "700";
/// Delay of a start that is answered after its hedge and before the timeout of its call.
const START_DELAY: Duration = Duration::from_millis(60);
/// Number of freezes within a burst of jobs.
const FREEZES: u32 = 16;
/// Duration of such a freeze, after which the agents have stopped all runs.
const FREEZE: Duration = Duration::from_millis(700);
/// Difference between the times from the burst to two consecutive freezes.
const FREEZE_STEP: Duration = Duration::from_millis(1);
/// Number of jobs in a burst.
const BURST: u64 = 60;
/// Time within which an entry that has resumed starts what it would start.
const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Time for which callers wait while an entry is frozen, in ms.
const SHORT_TIMEOUT: u64 = 1_000;
/// Number of callers that wait at a frozen entry, more than it reads from at once.
const CROWD: u64 = 200;
/// Duration of a task that runs on after the time limits of this file, in ms.
const ENDLESS_MS: &str = "60000";
/// Time for which the caller of such a job waits, in ms.
const ENDLESS_TIMEOUT: u64 = 120_000;
/// Time within which processes have tried to contact all members.
const ODD_MEMBERS_TIME: Duration = Duration::from_secs(3);
/// Time within which a signal has taken effect.
const SIGNAL_TIME: Duration = Duration::from_millis(50);

#[tokio::test(flavor = "multi_thread")]
async fn serves_jobs_and_answers_each_once_it_has_ended() {
    let deployment = Deployment::start([10, 1], 2).await;

    for job in 1..=20 {
        let (status, body) = submit(&deployment, job, 3, SHORT_MS).await;
        assert_eq!((status, body.as_str()), (200, r#"{"state":"completed"}"#));
    }

    let starts: usize = deployment.executors.iter().map(|it| it.spans().len()).sum();
    assert_eq!(starts, 60);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_unsupported_jobs_and_answers_404_for_unknown_paths() {
    let deployment = Deployment::start([10, 2], 1).await;

    let stored = r#"{"spec":"40","steps":[{"count":1,"cpu":100}]}"#;
    let (status, _) = deployment.post("/q/00000000000000aa", stored).await;
    assert_eq!(status, 503);
    let (status, _) = deployment.post("/other/00000000000000aa", stored).await;
    assert_eq!(status, 404);
    let (status, body) = deployment.post("/q/00000000000000aa", "{").await;
    assert_eq!(status, 400, "{body}");
    let (status, body) = deployment.get("/q/").await;
    assert_eq!((status, body.as_str()), (200, r#"{"pending":0}"#));
    let (status, _) = deployment.get("/q/00000000000000aa").await;
    assert_eq!(status, 410);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_answers_the_jobs_that_it_has_accepted() {
    let mut deployment = Deployment::start([10, 3], 2).await;

    let caller = deployment.caller();
    let job = job_text(4, LONG_MS);
    let (answer, ()) = tokio::join!(caller.submit(0, 1, 5_000, &job), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.signal_entry(Signal::SIGTERM);
    });

    assert_eq!(answer.0, 200);
    assert!(deployment.entry_exits_successfully().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_complete_without_overlapping_runs_after_an_agent_restart() {
    let mut deployment = Deployment::start([10, 4], 2).await;

    deployment.kill_agent(0);
    deployment.start_agent(0);
    let (status, _) = submit(&deployment, 1, 8, LONG_MS).await;

    assert_eq!(status, 200);
    assert_eq!(overlaps(&deployment.spans()), Vec::<String>::new());
}

/// Guards against a rejected copy of a start that is taken for the run.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_never_runs_twice_if_its_start_is_unanswered_and_the_copy_rejected() {
    let deployment = Deployment::start([10, 11], 2).await;

    submit_with_rejected_copy(&deployment, StartFault::AnswerLost).await;
}

/// Guards against a rejected hedge that is taken for the run while the first copy is on its way.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_never_runs_twice_if_its_start_is_late_and_the_hedge_rejected() {
    let deployment = Deployment::start([10, 12], 2).await;

    submit_with_rejected_copy(&deployment, StartFault::Delayed(START_DELAY)).await;
}

/// Guards against a job that runs for a caller who may have sent it to another entry meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_does_not_run_if_its_caller_is_gone_before_it_is_read() {
    let mut deployment = Deployment::start([10, 13], 2).await;
    deployment.processes[0].signal(Signal::SIGSTOP);
    tokio::time::sleep(SIGNAL_TIME).await;
    for job in 1..=10 {
        deployment.caller().submit_and_leave(0, job, &job_text(1, LONG_MS)).await;
    }

    deployment.processes[0].signal(Signal::SIGCONT);
    sleep(SETTLE_TIME).await;

    assert_eq!(deployment.spans(), vec![Vec::<Span>::new(); 2]);
    deployment.wait_until_jobs_run().await;
}

/// Guards against jobs that run beside their copies at another entry: more requests wait in the sockets
/// of a frozen entry than it reads at once, and the ends of their connections are read later.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_do_not_run_if_many_callers_are_gone_before_they_are_read() {
    let mut deployment = Deployment::start([10, 41], 2).await;
    deployment.signal_entry(Signal::SIGSTOP);
    sleep(SIGNAL_TIME).await;
    for job in 1..=CROWD {
        deployment.caller().submit_and_leave(0, job, &job_text(1, LONG_MS)).await;
    }

    deployment.signal_entry(Signal::SIGCONT);
    sleep(SETTLE_TIME).await;

    assert_eq!(deployment.spans(), vec![Vec::<Span>::new(); 2]);
    deployment.wait_until_jobs_run().await;
}

/// Guards against jobs that run beside their copies at another entry: their callers have stopped waiting
/// while the entry was frozen, and the ends of their connections have not arrived.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_do_not_run_if_their_time_is_up_before_they_are_read() {
    let mut deployment = Deployment::start([10, 43], 2).await;
    let caller = deployment.caller();
    deployment.signal_entry(Signal::SIGSTOP);
    sleep(SIGNAL_TIME).await;
    let mut connections = Vec::new();
    for job in 1..=10 {
        let mut connection = caller.connect(0).await;
        send_job(&mut connection, job, SHORT_TIMEOUT, &job_text(1, LONG_MS)).await;
        connections.push(connection);
    }

    sleep(Duration::from_millis(SHORT_TIMEOUT) * 2).await;
    deployment.signal_entry(Signal::SIGCONT);
    sleep(SETTLE_TIME).await;

    assert_eq!(deployment.spans(), vec![Vec::<Span>::new(); 2]);
    for connection in connections {
        assert_eq!(status(connection).await, 503);
    }
    deployment.wait_until_jobs_run().await;
}

/// Guards against a job that runs on for a caller who has left: a further request on the connection
/// hides its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_given_up_if_its_caller_leaves_after_a_further_request() {
    let deployment = Deployment::start([10, 42], 1).await;
    let caller = deployment.caller();
    let mut connection = caller.connect(0).await;
    send_job(&mut connection, 1, ENDLESS_TIMEOUT, &job_text(1, ENDLESS_MS)).await;
    send_job(&mut connection, 2, DEFAULT_TIMEOUT_MS, &job_text(1, SHORT_MS)).await;
    deployment.wait_for("/q/0000000000000001", 200).await;

    drop(connection);

    deployment.wait_for("/q/0000000000000001", 410).await;
    assert_eq!(deployment.starts_of(2), 0);
}

/// Guards against a job that starts when its entry wakes, for a caller who has left meanwhile: it was
/// read before the entry froze, and waited in the queue of the actor.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_does_not_start_if_its_caller_leaves_while_it_waits_in_the_queue_of_a_frozen_entry() {
    let mut deployment = Deployment::start([10, 18], 2).await;

    for round in 0..FREEZES {
        let resumed = freeze_during_burst(&mut deployment, round).await;

        let spans = deployment.spans();
        let late: Vec<_> = spans.iter().flatten().filter(|it| it.from >= resumed).collect();
        assert!(late.is_empty(), "freeze {round}: {late:#?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_is_in_force_and_survives_an_outage_of_the_store() {
    let deployment = Deployment::start([10, 5], 1).await;

    deployment.publish(2, &["/q/", "/new/"]);
    deployment.wait_for("/new/", 200).await;
    deployment.store.set_down(true);
    assert_eq!(deployment.get("/new/").await.0, 200);
    deployment.store.set_down(false);
    deployment.publish(3, &["/q/"]);
    deployment.store.truncate_history();

    deployment.wait_for("/new/", 404).await;
}

/// Guards against an entry that refuses all jobs after a restart while its neighbours serve.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_restarted_while_the_store_is_down_serves_with_the_configuration_of_another() {
    let layout = Layout { entries: 2, ..Layout::default() };
    let mut deployment = Deployment::start_with([10, 31], layout).await;
    deployment.publish(2, &["/q/", "/new/"]);
    deployment.wait_for("/new/", 200).await;
    deployment.store.set_down(true);

    deployment.restart_entry(1);
    deployment.wait_for("/new/", 200).await;
    let answer = deployment.caller().submit(1, 1, 5_000, &job_text(2, SHORT_MS)).await;

    assert_eq!(answer.0, 200, "{}", answer.1);
    deployment.store.set_down(false);
    deployment.publish(3, &["/q/"]);
    deployment.wait_for("/new/", 404).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_any_configuration_jobs_are_refused_at_once_and_the_entry_is_not_ready() {
    let mut deployment = Deployment::start([10, 32], 1).await;
    deployment.store.set_down(true);

    deployment.restart_entry(0);
    let refusal = deployment.refusal(0).await;

    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(refusal, (unavailable, Some("1".to_owned()), unavailable));
    deployment.store.set_down(false);
    deployment.wait_for("/q/", 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn new_processes_find_each_other_while_the_store_refuses_writes_and_no_seed_lives() {
    let mut deployment = Deployment::start([10, 7], 2).await;
    deployment.store.set_refuses_writes(true);

    deployment.restart_all_without_seeds();
    deployment.wait_for("/q/", 200).await;

    deployment.wait_until_jobs_run().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn new_processes_find_each_other_by_seeds_that_are_named_after_their_start() {
    let mut deployment = Deployment::start([10, 8], 1).await;
    deployment.store.delete_hosts();
    deployment.store.set_refuses_writes(true);
    deployment.restart_all_without_seeds();

    deployment.write_seeds();
    deployment.wait_for("/q/", 200).await;

    deployment.wait_until_jobs_run().await;
}

/// Guards against processes that end, or do not find each other, because another writer has left odd
/// records among those of the members.
#[tokio::test(flavor = "multi_thread")]
async fn new_processes_find_each_other_beside_odd_records_of_members() {
    let mut deployment = Deployment::start([10, 19], 2).await;
    for (number, value) in odd_members().into_iter().enumerate() {
        deployment.store.write_host(&format!("127.9.9.{number}:7000"), &value);
    }

    deployment.restart_all_without_seeds();
    deployment.wait_for("/q/", 200).await;
    deployment.wait_until_jobs_run().await;
    sleep(ODD_MEMBERS_TIME).await;

    deployment.wait_until_jobs_run().await;
    assert!(deployment.processes.iter_mut().all(|it| it.is_running() && it.starts == 2));
}

/// Guards against processes that end at their start, or serve nothing, because of one odd seed, record
/// or heartbeat.
#[tokio::test(flavor = "multi_thread")]
async fn processes_serve_beside_an_odd_seed_record_and_heartbeat() {
    let mut deployment = Deployment::start([10, 61], 2).await;
    let nested = format!("{}0{}", "[".repeat(500), "]".repeat(500));

    deployment.store.evacuate(&nested);
    deployment.restart_all_with_seed("127.0.0.3:65536");
    deployment.wait_for("/q/", 200).await;
    let odd = [("127.0.0.3:65536", "1"), ("127.0.0.3:0", "1"), ("127.0.0.3:80", "1e999")];
    for (address, cpu) in odd.into_iter().chain([("127.0.0.3:80", nested.as_str())]) {
        assert_eq!(deployment.heartbeat(0, address, cpu).await, 400, "{address}");
    }

    deployment.wait_until_jobs_run().await;
    assert!(deployment.processes.iter_mut().all(|it| it.is_running() && it.starts == 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_executor_gets_no_new_work() {
    let deployment = Deployment::start([10, 6], 2).await;
    deployment.executors[0].drain();
    tokio::time::sleep(Duration::from_millis(600)).await;
    let before = deployment.executors[0].spans().len();

    for job in 1..=5 {
        assert_eq!(submit(&deployment, job, 4, SHORT_MS).await.0, 200);
    }

    assert_eq!(deployment.executors[0].spans().len(), before);
}

// Guards against an executor that gets no work, or whose tasks run twice, after it restarts under
// its id with numbers and a clock that start anew.
#[tokio::test(flavor = "multi_thread")]
async fn an_executor_that_drained_and_restarts_under_its_id_gets_work_again() {
    let deployment = Deployment::start([10, 14], 2).await;
    let executor = &deployment.executors[0];
    executor.set_born(1_790_000_000_000);
    deployment.wait_until_jobs_run().await;

    let ((status, _), ()) = tokio::join!(submit(&deployment, 1, 8, LONG_MS), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        executor.drain();
        tokio::time::sleep(Duration::from_millis(300)).await;
        executor.restart(1_790_000_009_000);
    });

    assert_eq!(status, 200);
    assert_eq!(overlaps(&deployment.spans()), Vec::<String>::new());
    deployment.wait_until_jobs_run().await;
}

// Guards against runs that are lost with an executor which had announced when it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn no_run_is_lost_with_an_executor_that_announces_its_removal() {
    let deployment = Deployment::start([10, 15], 2).await;
    let executor = &deployment.executors[0];

    let ((status, _), ()) = tokio::join!(submit(&deployment, 1, 8, LONG_MS), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        executor.announce_removal(Duration::from_millis(450));
        tokio::time::sleep(Duration::from_millis(450)).await;
        executor.crash("i-next");
    });

    assert_eq!(status, 200);
    let spans = deployment.spans();
    assert_eq!(overlaps(&spans), Vec::<String>::new());
    let has_outcome = |outcome| spans[0].iter().any(|it| it.outcome == Some(outcome));
    assert!(has_outcome("stopped") && !has_outcome("crashed"), "{:#?}", spans[0]);
}

// Guards against a job that crashes one executor after the other, and whose count begins anew at
// the next entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_crashes_its_executors_is_answered_as_failed_by_every_entry() {
    let layout = Layout { entries: 2, agents: 4, ..Layout::default() };
    let deployment = Deployment::start_with([10, 16], layout).await;
    deployment.wait_until_jobs_run().await;
    let failed = (200, r#"{"state":"failed"}"#.to_owned());

    let first = deployment.caller().submit(0, 1, 20_000, &job_text(1, "deadly")).await;
    let starts = deployment.starts_of(1);
    let second = deployment.caller().submit(1, 1, 20_000, &job_text(1, "deadly")).await;

    assert_eq!((first, second), (failed.clone(), failed));
    assert!(starts <= 3, "{starts} starts");
    assert_eq!(deployment.starts_of(1), starts);
}

// Guards against starts by the capacity that an executor had when it registered.
#[tokio::test(flavor = "multi_thread")]
async fn an_executor_whose_capacity_shrinks_gets_no_more_work_than_fits() {
    let deployment = Deployment::start([10, 17], 2).await;
    deployment.wait_until_jobs_run().await;
    deployment.executors[0].set_cpu(0);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let before = deployment.executors[0].spans().len();

    for job in 1..=5 {
        assert_eq!(submit(&deployment, job, 4, SHORT_MS).await.0, 200);
    }
    assert_eq!(deployment.executors[0].spans().len(), before);
    deployment.executors[0].set_cpu(EXECUTOR_CPU);
    tokio::time::sleep(Duration::from_millis(600)).await;
    // Half of the tasks fit on the other executor.
    assert_eq!(submit(&deployment, 6, 10, SHORT_MS).await.0, 200);

    assert!(deployment.executors[0].spans().len() > before);
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_are_still_being_written_at_startup_are_reloaded() {
    let mut deployment = Deployment::start([10, 9], 1).await;

    deployment.restart_while_settings_are_written().await;

    deployment.wait_for("/q/", 200).await;
    deployment.wait_until_jobs_run().await;
}

/// Stops the first entry while it reads a burst of jobs, a bit later in each round, closes all
/// connections, and lets it go on; returns the time at which it did.
async fn freeze_during_burst(deployment: &mut Deployment, round: u32) -> Instant {
    let caller = deployment.caller();
    let mut connections = Vec::new();
    for _ in 0..BURST {
        connections.push(caller.connect(0).await);
    }
    // The entry has accepted the connections by then.
    sleep(SIGNAL_TIME).await;
    for (number, connection) in (1..).zip(&mut connections) {
        let job = u64::from(round) * BURST + number;
        send_job(connection, job, DEFAULT_TIMEOUT_MS, &job_text(1, LONG_MS)).await;
    }
    sleep(FREEZE_STEP * round).await;
    deployment.signal_entry(Signal::SIGSTOP);
    drop(connections);
    sleep(FREEZE).await;
    let resumed = Instant::now();
    deployment.signal_entry(Signal::SIGCONT);
    sleep(SETTLE_TIME).await;
    resumed
}

/// Records that name no process to contact: unreadable ones, and addresses to which nothing can be
/// sent.
fn odd_members() -> Vec<Vec<u8>> {
    let member = |ip: [u8; 4], port: u16, zone: String| {
        let address = SocketAddrV4::new(ip.into(), port);
        postcard::to_stdvec(&Member { address, role: Role::Agent, zone }).expect("a record")
    };
    let zone = || "z".to_owned();
    let nested = "[".repeat(2_000).into_bytes();
    vec![
        nested,
        vec![0xff; 64],
        Vec::from(b"{}"),
        member([127, 10, 19, 2], 0, zone()),
        member([0, 0, 0, 0], 7_000, zone()),
        member([255, 255, 255, 255], 7_000, zone()),
        member([224, 0, 0, 1], 7_000, zone()),
        member([127, 9, 9, 9], 7_000, "z".repeat(100_000)),
    ]
}

/// Submits a job of one task; the first start at each executor has `fault`, and its copy is rejected.
async fn submit_with_rejected_copy(deployment: &Deployment, fault: StartFault) {
    for executor in &deployment.executors {
        let rejected = StartFault::Rejected(StatusCode::SERVICE_UNAVAILABLE);
        executor.set_start_faults(&[fault, rejected]);
    }

    let answer = submit(deployment, 1, 1, LONG_MS).await;

    let job = ObservedJob { id: 1, tasks: 1, answers: vec![answer.clone()], finished: true };
    assert_eq!(violations(&deployment.spans(), &[job]), Vec::<String>::new());
    assert_eq!(answer, (200, r#"{"state":"completed"}"#.to_owned()));
}

#[test]
fn missing_settings_fail_the_start_with_the_reason() {
    let output = process::run_without_settings();

    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("settings file") && error.contains("cannot be read"), "{error}");
}
