//! Client of an executor, against a stand-in.

use std::{net::SocketAddr, time::Duration};

use endpoint::Executor;
use ident::{RequestId, Timestamp};
use node::LinkError;
use standin::executor::{ExecutorOptions, ExecutorServer, Fault, RunAnswer};
use wire::Run;

const CONNECTIONS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the 200 ms for which an idle connection counts as alive.
const IDLE: Duration = Duration::from_millis(250);

async fn server() -> ExecutorServer {
    let options =
        ExecutorOptions { name: "stand-1".to_owned(), slots: 8, connections: CONNECTIONS };
    ExecutorServer::start(options).await.unwrap()
}

fn client(address: SocketAddr) -> Executor {
    Executor::new(address, CONNECTIONS)
}

fn run(number: u8, run_ms: u64) -> Run {
    Run {
        id: RequestId::new(Timestamp::from_millis(1_700_000_000_000), [number; 10]),
        attempt: 1,
        submitted: Timestamp::from_millis(1_700_000_000_000),
        over_quota: false,
        service: "yardbook".to_owned(),
        kind: "cradle-fit".to_owned(),
        team: "foreman".to_owned(),
        budget: TIMEOUT,
        declared: None,
        hints: Vec::new(),
        body: format!(r#"{{"run_ms":{run_ms}}}"#).into_bytes(),
    }
}

/// Runs requests concurrently and returns the ids in their answers.
async fn run_all(client: &Executor, runs: &[Run]) -> Vec<RequestId> {
    let mut tasks = Vec::new();
    for run in runs {
        let (client, run) = (client.clone(), run.clone());
        tasks.push(tokio::spawn(async move { client.run(&run, TIMEOUT).await }));
    }
    let mut ids = Vec::new();
    for task in tasks {
        let answer = task.await.unwrap().result.unwrap();
        let body: RunAnswer = serde_json::from_slice(&answer.body).unwrap();
        ids.push(body.request);
    }
    ids
}

#[tokio::test]
async fn gives_each_request_its_own_answer_within_the_allowed_connections() {
    let server = server().await;
    let runs: Vec<Run> = (0..40).map(|number| run(number, u64::from(number % 7))).collect();
    let wanted: Vec<RequestId> = runs.iter().map(|run| run.id).collect();

    let ids = run_all(&client(server.address()), &runs).await;

    assert_eq!(ids, wanted);
    assert_eq!(server.total_runs(), 40);
    assert_eq!(server.double_runs(), []);
}

#[tokio::test]
async fn stays_within_a_number_of_connections_that_is_lowered_under_load() {
    let server = server().await;
    let client = client(server.address());
    let runs: Vec<Run> = (0..CONNECTIONS as u8).map(|number| run(number, 100)).collect();
    let before = tokio::spawn({
        let client = client.clone();
        async move { run_all(&client, &runs).await }
    });
    while server.total_runs() < CONNECTIONS as u32 {
        tokio::task::yield_now().await;
    }

    client.set_connections(1);
    let runs: Vec<Run> = (10..30).map(|number| run(number, 0)).collect();
    let during = run_all(&client, &runs).await;
    let before = before.await.unwrap();
    let closed = tokio::time::timeout(TIMEOUT, async {
        while server.open_connections() > 1 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });

    assert_eq!((before.len(), during.len()), (CONNECTIONS, 20));
    assert!(closed.await.is_ok(), "{} connections stay open", server.open_connections());
}

#[tokio::test]
async fn returns_an_answer_with_a_failing_status() {
    let server = server().await;
    server.set_fault(Fault::FailAll);

    let executed = client(server.address()).run(&run(1, 0), TIMEOUT).await;

    assert_eq!(executed.result.unwrap().status, 500);
}

#[tokio::test]
async fn reports_that_nothing_was_sent_to_an_executor_that_is_down() {
    let server = server().await;
    let client = client(server.address());
    run_all(&client, &[run(1, 0)]).await;
    server.set_fault(Fault::Down);
    tokio::time::sleep(IDLE).await;

    let executed = client.run(&run(2, 0), TIMEOUT).await;

    assert_eq!(executed.result, Err(LinkError::NotSent));
    assert_eq!(server.runs(run(2, 0).id), 0);
}

#[tokio::test]
async fn works_again_after_the_executor_returns() {
    let server = server().await;
    let client = client(server.address());
    run_all(&client, &[run(1, 0)]).await;
    server.set_fault(Fault::Down);
    tokio::time::sleep(IDLE).await;
    server.set_fault(Fault::None);
    tokio::time::sleep(IDLE).await;

    let executed = client.run(&run(2, 0), TIMEOUT).await;

    assert_eq!(executed.result.unwrap().status, 200);
}

#[tokio::test]
async fn reports_a_request_as_lost_when_its_answer_does_not_come() {
    let server = server().await;
    server.set_fault(Fault::Silent);

    let executed = client(server.address()).run(&run(1, 0), IDLE).await;

    assert_eq!(executed.result, Err(LinkError::Lost));
    assert_eq!(server.runs(run(1, 0).id), 1);
}

#[tokio::test]
async fn does_not_return_a_late_answer_to_the_next_request() {
    let server = server().await;
    let client = Executor::new(server.address(), 1);
    server.set_fault(Fault::Late(Duration::from_secs(1)));
    let late = client.run(&run(1, 0), IDLE).await;
    server.set_fault(Fault::None);

    let ids = run_all(&client, &[run(2, 1000)]).await;

    assert_eq!(late.result, Err(LinkError::Lost));
    assert_eq!(ids, [run(2, 1000).id]);
}

#[tokio::test]
async fn replaces_idle_connections_that_went_silent() {
    let options = ExecutorOptions { name: "stand-1".to_owned(), slots: 8, connections: 60 };
    let server = ExecutorServer::start(options).await.unwrap();
    let client = client(server.address());
    run_all(&client, &[run(1, 20), run(2, 20), run(3, 20)]).await;
    server.silence_connections();
    tokio::time::sleep(IDLE).await;

    let ids = run_all(&client, &[run(4, 0), run(5, 0), run(6, 0)]).await;

    assert_eq!(ids, [run(4, 0).id, run(5, 0).id, run(6, 0).id]);
    assert_eq!(server.total_runs(), 6);
}

#[tokio::test]
async fn does_not_send_a_request_that_times_out_before_a_connection_is_free() {
    let server = server().await;
    let client = Executor::new(server.address(), 1);
    let first = tokio::spawn({
        let client = client.clone();
        async move { client.run(&run(1, 400), TIMEOUT).await }
    });
    while server.total_runs() == 0 {
        tokio::task::yield_now().await;
    }

    let second = client.run(&run(2, 0), Duration::from_millis(20)).await;

    assert_eq!(second.result, Err(LinkError::NotSent));
    assert_eq!(first.await.unwrap().result.unwrap().status, 200);
    assert_eq!(server.runs(run(2, 0).id), 0);
}
