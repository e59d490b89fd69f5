//! Nodes that stop gracefully, and nodes that are killed.

mod common;

use std::time::Duration;

use common::{PAUSE, caller, new_id, start, wait_for_start, wrap_ticket};
use tokio::time::sleep;
use verdict::Verdict;

const RUN_TIME: Duration = Duration::from_millis(800);
const SHORT_RUN: Duration = Duration::from_millis(5);

#[tokio::test]
async fn an_entry_that_stops_finishes_its_requests() {
    let mut cluster = start(21).await;
    let caller = caller(&cluster, 0);
    let other = common::caller(&cluster, 1);
    let request =
        tokio::spawn(async move { caller.submit(&wrap_ticket(new_id(1), RUN_TIME)).await });
    wait_for_start(&cluster).await;

    let clean = cluster.entries[0].stop().await;
    let answer = request.await.unwrap().unwrap();
    let next = other.submit(&wrap_ticket(new_id(2), SHORT_RUN)).await.unwrap();

    assert!(clean);
    assert!(answer.is_done(), "{answer:?}");
    assert!(next.is_done(), "{next:?}");
}

#[tokio::test]
async fn an_agent_that_stops_finishes_its_requests() {
    let mut cluster = start(22).await;
    let caller = caller(&cluster, 0);
    let calls = caller.clone();
    let request =
        tokio::spawn(async move { calls.submit(&wrap_ticket(new_id(1), RUN_TIME)).await });
    let running = wait_for_start(&cluster).await;

    let clean = cluster.host(&running).unwrap().stop().await;
    let answer = request.await.unwrap().unwrap();
    let next = caller.submit(&wrap_ticket(new_id(2), SHORT_RUN)).await.unwrap();

    assert!(clean);
    assert!(answer.is_done(), "{answer:?}");
    assert!(next.is_done(), "{next:?}");
    assert_eq!(cluster.double_starts(), 0);
}

#[tokio::test]
async fn a_request_on_an_agent_that_is_killed_may_have_run() {
    let mut cluster = start(23).await;
    let caller = caller(&cluster, 0);
    let request =
        tokio::spawn(async move { caller.submit(&wrap_ticket(new_id(1), RUN_TIME)).await });
    let running = wait_for_start(&cluster).await;

    cluster.host(&running).unwrap().kill();
    let answer = request.await.unwrap().unwrap();

    assert_eq!(answer.verdict, Some(Verdict::MayHaveRun));
    assert_eq!(cluster.double_starts(), 0);
}

#[tokio::test]
async fn counts_the_work_in_progress() {
    let cluster = start(24).await;
    let caller = caller(&cluster, 0);
    let request =
        tokio::spawn(async move { caller.submit(&wrap_ticket(new_id(1), RUN_TIME)).await });
    let running = wait_for_start(&cluster).await;

    let agent = cluster.hosts.iter().find(|host| host.name == running).unwrap();
    let at_entry = cluster.entries[0].progress();
    let at_agent = agent.agent.as_ref().unwrap().progress();
    request.await.unwrap().unwrap();
    while cluster.entries[0].progress().requests > 0 {
        sleep(PAUSE).await;
    }

    assert_eq!(at_entry.requests, 1);
    assert_eq!((at_agent.calls, at_agent.runs), (1, 1));
    assert_eq!(agent.agent.as_ref().unwrap().progress().runs, 0);
}
