//! Client of a worker, against a stand-in.

use std::time::Duration;

use endpoint::{StartError, Worker, WorkerError};
use ident::{RequestId, Timestamp};
use standin::worker::{Fault, StopCause, Stopped, TaskAnswer, WorkerOptions, WorkerServer};
use tokio::task::JoinHandle;
use verdict::Answer;
use wire::{StartTask, TaskSpec};

const SHORT: Duration = Duration::from_millis(250);

async fn server() -> WorkerServer {
    server_with_lag(Duration::ZERO).await
}

async fn server_with_lag(usage_lag: Duration) -> WorkerServer {
    let options = WorkerOptions {
        name: "bench-1".to_owned(),
        cores: 4,
        memory_mb: 8192,
        accelerators: 0,
        connections: 60,
        usage_lag,
    };
    WorkerServer::start(options).await.unwrap()
}

fn client(server: &WorkerServer) -> Worker {
    Worker::new(server.address(), 8)
}

fn job() -> RequestId {
    RequestId::new(Timestamp::from_millis(1_700_000_000_000), [1; 10])
}

fn start(index: u32, cores: u32, run_ms: u64) -> StartTask {
    let body = format!("part {index}");
    StartTask {
        job: job(),
        index,
        task: TaskSpec { cores, memory_mb: 512, accelerators: 0, run_ms, body },
        lease: Duration::from_secs(10),
        budget: Duration::from_secs(10),
    }
}

/// Starts a task and waits until it runs.
async fn run(
    client: &Worker,
    server: &WorkerServer,
    start: StartTask,
) -> JoinHandle<Result<Answer, StartError>> {
    let client = client.clone();
    let task = tokio::spawn(async move { client.start(&start).await });
    while server.running() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    task
}

fn stop_cause(answer: &Answer) -> StopCause {
    let stopped: Stopped = serde_json::from_slice(&answer.body).unwrap();
    stopped.stopped
}

#[tokio::test]
async fn returns_the_result_of_a_task() {
    let server = server().await;

    let answer = client(&server).start(&start(3, 1, 1)).await.unwrap();

    let body: TaskAnswer = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((answer.status, body.index, body.body.as_str()), (200, 3, "part 3"));
    assert_eq!(server.starts(job(), 3), 1);
}

#[tokio::test]
async fn distinguishes_a_refused_start_from_a_lost_one() {
    let server = server().await;
    let client = client(&server);
    let first = run(&client, &server, start(0, 3, 60_000)).await;

    let refused = client.start(&start(1, 2, 0)).await;
    server.silence_connections();
    server.set_fault(Fault::Silent);
    let lost = client.start(&StartTask { budget: SHORT, ..start(2, 1, 0) }).await;

    assert!(matches!(refused, Err(StartError::Refused(_))), "{refused:?}");
    assert_eq!(server.starts(job(), 1), 0);
    assert_eq!(lost, Err(StartError::Lost));
    first.abort();
}

#[tokio::test]
async fn stops_a_task_whose_lease_lapses() {
    let server = server().await;
    let lapsing = StartTask { lease: Duration::from_millis(20), ..start(0, 1, 60_000) };

    let answer = client(&server).start(&lapsing).await.unwrap();

    assert_eq!(answer.status, 410);
    assert_eq!(stop_cause(&answer), StopCause::LeaseLapsed);
    assert_eq!((server.lapsed(), server.running()), (1, 0));
}

#[tokio::test]
async fn renews_and_stops_a_task_after_connections_went_silent() {
    let server = server().await;
    let client = client(&server);
    let task = run(&client, &server, start(0, 1, 60_000)).await;
    client.renew(job(), 0, Duration::from_secs(20)).await.unwrap();
    server.silence_connections();

    let renewed = client.renew(job(), 0, Duration::from_secs(20)).await;
    let stopped = client.checkpoint(job(), 0).await;

    assert_eq!((renewed, stopped), (Ok(()), Ok(())));
    while server.running() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    task.abort();
}

#[tokio::test]
async fn gives_up_a_start_whose_task_has_ended_on_a_silent_connection() {
    let server = server().await;
    let client = client(&server);
    let short = StartTask { budget: Duration::from_secs(3600), ..start(0, 1, 100) };
    let task = run(&client, &server, short).await;
    server.silence_connections();
    while server.running() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }

    let renewed = client.renew(job(), 0, SHORT).await;
    let ended = tokio::time::timeout(Duration::from_secs(30), task).await;

    assert_eq!(renewed, Err(WorkerError::UnknownTask));
    assert_eq!(ended.expect("the start is given up").unwrap(), Err(StartError::Lost));
}

#[tokio::test]
async fn stops_a_task_on_request() {
    let server = server().await;
    let client = client(&server);
    let task = run(&client, &server, start(0, 1, 60_000)).await;

    client.stop(job(), 0).await.unwrap();

    let answer = task.await.unwrap().unwrap();
    assert_eq!(stop_cause(&answer), StopCause::Requested);
    assert_eq!(client.renew(job(), 0, SHORT).await, Err(WorkerError::UnknownTask));
}

#[tokio::test]
async fn throttles_a_task_without_ending_it() {
    let server = server().await;
    let client = client(&server);
    let task = run(&client, &server, start(0, 1, 100)).await;

    let throttled = client.throttle(job(), 0, 50).await;

    assert_eq!(throttled, Ok(()));
    assert_eq!(task.await.unwrap().unwrap().status, 200);
}

#[tokio::test]
async fn reads_usage_that_lags() {
    let prompt = server_with_lag(Duration::ZERO).await;
    let lagging = server_with_lag(Duration::from_secs(3600)).await;
    let first = run(&client(&prompt), &prompt, start(0, 3, 60_000)).await;
    let second = run(&client(&lagging), &lagging, start(0, 3, 60_000)).await;

    let new = client(&prompt).usage().await.unwrap();
    let old = client(&lagging).usage().await.unwrap();

    assert_eq!((new.cores, old.cores), (3, 0));
    first.abort();
    second.abort();
}
