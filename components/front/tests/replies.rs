//! HTTP responses to replies of the core.

mod common;

use std::time::Duration;

use common::{exchange, get, id, start, start_with_reply};
use front::Limits;
use insta::assert_snapshot;
use node::{CallerReply, NodeStatus};
use verdict::{Answer, Outcome, Proof, Reason, Refusal};
use wire::JobStatus;

#[tokio::test]
async fn renders_a_refusal_with_its_verdict_and_retry_delay() {
    let refusal =
        Refusal::not_run(Proof::id_never_used(), Reason::Overloaded, "The queue is full.")
            .with_retry_after(Duration::from_millis(1200));
    let outcome = Outcome::Refused(refusal);

    let answer = response_to(CallerReply::Outcome { id: Some(id()), outcome, ran_on: None }).await;

    assert_snapshot!(answer);
}

#[tokio::test]
async fn renders_a_running_job() {
    let status = JobStatus::Running { done: 3, total: 400 };

    let answer = response_to(CallerReply::Job { id: id(), status }).await;

    assert_snapshot!(answer);
}

#[tokio::test]
async fn renders_a_complete_job_with_its_results() {
    let body = br#"["fits",null]"#.to_vec();
    let status = JobStatus::Ended(Outcome::Done(Answer { status: 200, body }));

    let answer = response_to(CallerReply::Job { id: id(), status }).await;

    assert_snapshot!(answer);
}

#[tokio::test]
async fn renders_a_failed_job_as_an_error() {
    let refusal = Refusal::may_have_run(Reason::TaskFailed, "Task 7 failed.");
    let status = JobStatus::Ended(Outcome::Refused(refusal));

    let answer = response_to(CallerReply::Job { id: id(), status }).await;

    assert_snapshot!(answer);
}

#[tokio::test]
async fn renders_a_running_request() {
    let answer = response_to(CallerReply::Running(id())).await;

    assert_snapshot!(answer);
}

#[tokio::test]
async fn renders_the_status_of_the_node() {
    let status = NodeStatus {
        node: "127.0.0.1:7400".parse().unwrap(),
        version: 12,
        next_offset: 40,
        entries: Vec::new(),
        agents: Vec::new(),
    };

    let answer = response_to(CallerReply::Status(status)).await;

    assert_snapshot!(answer);
}

#[tokio::test]
async fn maps_each_reason_to_its_status() {
    let reasons = [
        Reason::Invalid,
        Reason::Unknown,
        Reason::OverQuota,
        Reason::Overloaded,
        Reason::DeadlineMissed,
        Reason::CannotFit,
        Reason::NoEndpoint,
        Reason::NotOwner,
        Reason::OwnerChanged,
        Reason::ConnectionLost,
        Reason::TimedOut,
        Reason::Cancelled,
        Reason::ShuttingDown,
        Reason::TaskFailed,
        Reason::Expired,
        Reason::NotConfigured,
    ];

    let mut lines = String::new();
    for reason in reasons {
        let outcome = Outcome::Refused(Refusal::may_have_run(reason, "No."));
        let reply = CallerReply::Outcome { id: None, outcome, ran_on: None };
        let address = start_with_reply(reply).await;
        let answer = exchange(address, &get("/v1/status")).await;
        lines.push_str(&format!("{reason} {}\n", answer.status));
    }

    assert_snapshot!(lines);
}

#[tokio::test]
async fn serves_the_monitoring_pages() {
    let fixture = start(Limits::default()).await;

    let health = exchange(fixture.address, &get("/health")).await;
    let ready = exchange(fixture.address, &get("/ready")).await;
    let metrics = exchange(fixture.address, &get("/metrics")).await;

    assert_eq!((health.status, health.body.as_str()), (200, "ok\n"));
    assert_eq!((metrics.status, metrics.body.as_str()), (200, "requests 1\n"));
    assert_eq!(ready.status, 503);
    assert_snapshot!(ready.body);
}

/// Sends a request to a core that replies with `reply`, and formats the whole response.
async fn response_to(reply: CallerReply) -> String {
    let address = start_with_reply(reply).await;
    let answer = exchange(address, &get("/v1/status")).await;
    format!("{}\n{}\n\n{}", answer.status, answer.headers, answer.body)
}
