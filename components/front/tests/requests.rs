//! Requests that reach the core, and requests that are rejected before.

mod common;

use std::time::Duration;

use common::{CoreRequest, ID, exchange, get, id, post, start};
use front::Limits;
use insta::assert_snapshot;
use node::{CallerReply, CallerRequest, Job, Request};
use verdict::{Answer, Outcome};
use wire::TaskSpec;

const PATH: &str = "/v1/services/yardbook/kinds/slot%20check/requests";

#[tokio::test]
async fn forwards_a_request_with_all_its_fields() {
    let mut fixture = start(Limits::default()).await;
    let headers = format!(
        "primrosemux-id: {ID}\r\nprimrosemux-team: owners\r\n\
         primrosemux-deadline-ms: 500\r\nprimrosemux-run-ms: 80\r\n"
    );

    let caller = tokio::spawn(exchange_owned(fixture.address, post(PATH, &headers, "berth 7")));
    let CoreRequest { request, reply, .. } = fixture.next_request().await;
    let outcome = Outcome::Done(Answer { status: 201, body: b"free".to_vec() });
    let ran_on = Some("127.0.0.1:7400".parse().unwrap());
    reply.send(CallerReply::Outcome { id: Some(id()), outcome, ran_on }).unwrap();
    let answer = caller.await.unwrap();

    let expected = Request {
        id: Some(id()),
        service: "yardbook".to_owned(),
        kind: "slot check".to_owned(),
        team: "owners".to_owned(),
        deadline: Some(Duration::from_millis(500)),
        declared: Some(Duration::from_millis(80)),
        body: b"berth 7".to_vec(),
    };
    assert_eq!(request, CallerRequest::Request(expected));
    assert_eq!(answer.status, 201);
    assert_eq!(answer.body, "free");
    assert_snapshot!(answer.headers);
}

#[tokio::test]
async fn forwards_a_job() {
    let mut fixture = start(Limits::default()).await;
    let body = r#"{"team":"owners","urgency":"batch","tasks":
        [{"cores":2,"memory_mb":512,"run_ms":50,"body":"hull 9"}]}"#;

    tokio::spawn(exchange_owned(fixture.address, post("/v1/jobs", "", body)));
    let received = fixture.next_request().await;

    let task = TaskSpec {
        cores: 2,
        memory_mb: 512,
        accelerators: 0,
        run_ms: 50,
        body: "hull 9".to_owned(),
    };
    let expected = Job {
        id: None,
        team: "owners".to_owned(),
        urgency: "batch".to_owned(),
        deadline_ms: None,
        tasks: vec![task],
    };
    assert_eq!(received.request, CallerRequest::Job(expected));
}

#[tokio::test]
async fn distinguishes_lookups_and_cancellations_of_requests_and_jobs() {
    let mut fixture = start(Limits::default()).await;
    let cases = [
        ("GET", "/v1/requests/", CallerRequest::Ask(id())),
        ("DELETE", "/v1/requests/", CallerRequest::Cancel(id())),
        ("GET", "/v1/jobs/", CallerRequest::AskJob(id())),
        ("DELETE", "/v1/jobs/", CallerRequest::CancelJob(id())),
        ("GET", "/v1/explain/", CallerRequest::Explain(id())),
    ];

    for (method, path, expected) in cases {
        let request = get(&format!("{path}{ID}")).replacen("GET", method, 1);
        tokio::spawn(exchange_owned(fixture.address, request));

        assert_eq!(fixture.next_request().await.request, expected);
    }
}

#[tokio::test]
async fn reports_the_invalid_field_and_its_value() {
    let mut fixture = start(Limits { request_bytes: 8, ..Limits::default() }).await;
    let team = "primrosemux-team: owners\r\n";
    let cases = [
        post(PATH, "", ""),
        post(PATH, "primrosemux-team: a\r\nprimrosemux-team: b\r\n", ""),
        post(PATH, &format!("{team}primrosemux-id: 17\r\n"), ""),
        post(PATH, &format!("{team}primrosemux-deadline-ms: soon\r\n"), ""),
        post(PATH, &format!("{team}primrosemux-deadline-ms: 0\r\n"), ""),
        post(PATH, &format!("{team}primrosemux-id: {ID}\r\nprimrosemux-run-ms: -1\r\n"), ""),
        post(PATH, team, "more than eight bytes"),
        post("/v1/services/%zz/kinds/a/requests", team, ""),
        post("/v1/jobs", "", r#"{"team":"owners","urgency":"batch","tasks":[]}"#),
        post("/v1/jobs", "", r#"{"team":"owners","colour":"red"}"#),
        post("/v1/jobs", "", &format!(r#"{{"id":"{ID}","tasks":[]}}"#)),
        get("/v1/requests/18f0"),
        get("/v2/status"),
    ];

    let mut answers = String::new();
    for request in cases {
        let answer = exchange(fixture.address, &request).await;
        answers.push_str(&format!("{} {}\n", answer.status, answer.body));
    }

    assert_snapshot!(answers);
    assert!(fixture.events.try_recv().is_err(), "none of them reaches the core");
}

async fn exchange_owned(address: std::net::SocketAddr, request: String) -> common::Answer {
    exchange(address, &request).await
}
