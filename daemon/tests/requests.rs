//! Requests through a whole system, and what it reports about them.

mod common;

use std::time::Duration;

use common::{caller, get_json, new_id, start, wrap_ticket};
use hyper::Method;

#[tokio::test]
async fn explains_counts_and_answers_a_request() {
    let cluster = start(11).await;
    let caller = caller(&cluster, 0);
    let id = new_id(1);

    let answer = caller.submit(&wrap_ticket(id, Duration::from_millis(20))).await.unwrap();
    let decisions = get_json(&caller, &format!("/v1/explain/{id}")).await;
    let metrics = caller.call(Method::GET, "/metrics").await.unwrap();

    let count =
        r#"requests_total{service="yardbook",kind="wrap-ticket",verdict="done",reason=""} 1"#;
    assert!(answer.is_done(), "{answer:?}");
    assert_eq!(answer.id, Some(id.to_string()));
    assert_eq!(decisions[0]["step"], "route");
    assert!(decisions[0]["candidates"].is_array());
    assert!(String::from_utf8_lossy(&metrics.body).contains(count));
}

#[tokio::test]
async fn has_no_decisions_for_an_id_that_was_never_submitted() {
    let cluster = start(12).await;

    let decisions = get_json(&caller(&cluster, 0), &format!("/v1/explain/{}", new_id(2))).await;

    assert_eq!(decisions, serde_json::json!([]));
}

#[tokio::test]
async fn is_ready_once_it_has_a_configuration() {
    let cluster = start(13).await;

    let readiness = get_json(&caller(&cluster, 1), "/ready").await;

    assert_eq!(readiness["ready"], true);
    assert_eq!(readiness["version"], cluster.entries[0].version());
}
