//! Tests of the callers' commands against a fake entry.

mod support;

use std::net::SocketAddr;

use insta::assert_snapshot;
use tokio::net::TcpListener;

use crate::support::{FakeEntry, ID, Reply, format_run, run, temp_dir, write_file};

const REQUESTS: &str = "POST /v1/services/yardbook/kinds/slot-check/requests";

/// Arguments of a submission with [`ID`]; the first seven leave the id out.
const SUBMIT: [&str; 9] =
    ["submit", "--service", "yardbook", "--kind", "slot-check", "--team", "owners", "--id", ID];

/// Runs the tool against a fake entry with the given replies.
async fn run_with_entry(args: &[&str], routes: &[(&str, Reply)]) -> String {
    let entry = FakeEntry::start(routes).await;
    let finished = run(args, &[entry.variable()]).await;
    format_run(&finished, &[entry.replacement(), temp_dir()])
}

/// Address without a listener.
async fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn submit_sends_the_request_as_it_was_given() {
    let entry = FakeEntry::start(&[(REQUESTS, Reply::done(200, "free"))]).await;
    let more = ["--deadline-ms", "2000", "--run-ms", "80", "--body", "rack 7"];
    let args = [&SUBMIT[..], &more[..]].concat();

    run(&args, &[entry.variable()]).await;

    let received = entry.received().remove(0);
    assert_eq!(received.line, REQUESTS);
    assert_eq!(received.body, "rack 7");
    let header = |name: &str| received.headers[name].as_str();
    assert_eq!(header("primrosemux-id"), ID);
    assert_eq!(header("primrosemux-team"), "owners");
    assert_eq!(header("primrosemux-deadline-ms"), "2000");
    assert_eq!(header("primrosemux-run-ms"), "80");
}

#[tokio::test]
async fn submit_makes_a_new_id_for_each_request() {
    let entry = FakeEntry::start(&[(REQUESTS, Reply::done(200, "free"))]).await;

    run(&SUBMIT[..7], &[entry.variable()]).await;
    run(&SUBMIT[..7], &[entry.variable()]).await;

    let ids: Vec<String> =
        entry.received().iter().map(|it| it.headers["primrosemux-id"].clone()).collect();
    assert_ne!(ids[0], ids[1]);
    assert!(ids.iter().all(|it| it.parse::<ident::RequestId>().is_ok()));
}

#[tokio::test]
async fn submit_prints_the_executors_answer() {
    let json = [&SUBMIT[..], &["--json"]].concat();
    let routes = [(REQUESTS, Reply::done(200, "free"))];

    assert_snapshot!("submit_done", run_with_entry(&SUBMIT, &routes).await);
    assert_snapshot!("submit_done_json", run_with_entry(&json, &routes).await);
}

#[tokio::test]
async fn submit_prints_an_executors_error_as_its_answer() {
    let body = r#"{"error":{"verdict":"not_run"}}"#;

    let shown = run_with_entry(&SUBMIT, &[(REQUESTS, Reply::done(500, body))]).await;

    assert_snapshot!("submit_executor_error", shown);
}

#[tokio::test]
async fn submit_reports_whether_a_refused_request_may_have_run() {
    let not_run = Reply::refused(503, "not_run", "overloaded", "The queue is full.");
    let may_have_run = Reply::refused(504, "may_have_run", "timed_out", "No answer came.");
    let json = [&SUBMIT[..], &["--json"]].concat();

    assert_snapshot!(
        "submit_not_run",
        run_with_entry(&SUBMIT, &[(REQUESTS, not_run.clone())]).await
    );
    assert_snapshot!("submit_not_run_json", run_with_entry(&json, &[(REQUESTS, not_run)]).await);
    assert_snapshot!(
        "submit_may_have_run",
        run_with_entry(&SUBMIT, &[(REQUESTS, may_have_run)]).await
    );
}

#[tokio::test]
async fn submit_reports_an_unknown_outcome_for_a_foreign_response() {
    let shown =
        run_with_entry(&SUBMIT, &[(REQUESTS, Reply::json(502, "<html>Bad Gateway</html>"))]).await;

    assert_snapshot!("submit_foreign", shown);
}

#[tokio::test]
async fn a_lost_answer_may_have_run() {
    let shown = run_with_entry(&SUBMIT, &[]).await;

    assert!(shown.starts_with("exit 1\n"), "{shown}");
    assert!(shown.contains("may_have_run"), "{shown}");
    assert!(shown.contains("Ask for the outcome by the id."), "{shown}");
}

#[tokio::test]
async fn a_new_id_has_not_run_if_the_entry_is_unreachable() {
    let address = closed_port().await.to_string();

    let fresh = run(&SUBMIT[..7], &[("PRIMROSEMUX_ENTRY", address.clone())]).await;
    let chosen = run(&SUBMIT, &[("PRIMROSEMUX_ENTRY", address)]).await;

    assert_eq!(fresh.exit.code(), 3);
    assert!(fresh.stdout.contains("not_run"), "{}", fresh.stdout);
    assert_eq!(chosen.exit.code(), 1);
    assert!(chosen.stdout.contains("may_have_run"), "{}", chosen.stdout);
}

#[tokio::test]
async fn a_bad_id_is_refused_with_what_is_accepted() {
    let not_uuid = run(&["ask", "seven"], &[]).await;
    let wrong_version = run(&["ask", "f47ac10b-58cc-4372-a567-0e02b2c3d479"], &[]).await;

    let shown = [not_uuid, wrong_version].map(|it| format_run(&it, &[])).concat();
    assert_snapshot!("bad_id", shown);
}

#[tokio::test]
async fn job_waits_for_all_results() {
    let running = format!(r#"{{"id":"{ID}","status":"running","done":1,"total":2}}"#);
    let complete = format!(r#"{{"id":"{ID}","status":"complete","results":["fit","no fit"]}}"#);
    let state = format!("GET /v1/jobs/{ID}");
    let routes = [
        ("POST /v1/jobs", Reply::json(202, &running)),
        (&state, Reply::json(202, &running)),
        (&state, Reply::done(200, &complete)),
    ];
    let file = write_file("job.json", &job(ID));

    assert_snapshot!("job_complete", run_with_entry(&["job", &file], &routes).await);
    assert_snapshot!("job_complete_json", run_with_entry(&["job", &file, "--json"], &routes).await);
    assert_snapshot!("job_running", run_with_entry(&["job", &file, "--no-wait"], &routes).await);
}

#[tokio::test]
async fn job_reports_that_no_worker_fits() {
    let refused = Reply::refused(422, "not_run", "cannot_fit", "No worker has 999 cores.");
    let file = write_file("unfit.json", &job(ID));

    let shown = run_with_entry(&["job", &file], &[("POST /v1/jobs", refused)]).await;

    assert_snapshot!("job_refused", shown);
}

#[tokio::test]
async fn job_names_what_is_wrong_with_its_file() {
    let file = write_file("typo.json", &job(ID).replace("urgency", "urgentcy"));

    assert_snapshot!("job_typo", run_with_entry(&["job", &file], &[]).await);
}

/// A job of one task.
fn job(id: &str) -> String {
    format!(
        r#"{{"id":"{id}","team":"foreman","urgency":"batch","tasks":[{{"cores":1,"memory_mb":64,"run_ms":50}}]}}"#
    )
}

#[tokio::test]
async fn ask_prints_the_outcome_of_a_request() {
    let request = format!("GET /v1/requests/{ID}");
    let running = Reply::json(202, &format!(r#"{{"id":"{ID}","status":"running"}}"#));

    assert_snapshot!("ask_running", run_with_entry(&["ask", ID], &[(&request, running)]).await);
    assert_snapshot!(
        "ask_done",
        run_with_entry(&["ask", ID], &[(&request, Reply::done(200, "ok"))]).await
    );
}

#[tokio::test]
async fn cancel_reports_whether_the_request_was_cancelled() {
    let request = format!("DELETE /v1/requests/{ID}");
    let cancelled = Reply::refused(409, "not_run", "cancelled", "The caller cancelled it.");

    assert_snapshot!("cancel", run_with_entry(&["cancel", ID], &[(&request, cancelled)]).await);
    assert_snapshot!(
        "cancel_late",
        run_with_entry(&["cancel", ID], &[(&request, Reply::done(200, ""))]).await
    );
}

#[tokio::test]
async fn cancel_of_a_job_goes_to_the_job() {
    let job = format!("DELETE /v1/jobs/{ID}");
    let cancelled = Reply::refused(409, "may_have_run", "cancelled", "The caller cancelled it.");

    let shown = run_with_entry(&["cancel", ID, "--job"], &[(&job, cancelled)]).await;

    assert!(shown.starts_with("exit 0\n"), "{shown}");
}

#[tokio::test]
async fn explain_lists_decisions_with_the_nodes_compared() {
    let decisions = format!(
        r#"[{{"id":"{ID}","step":"route","node":"192.0.2.11:7500","reason":null,"verdict":null,"candidates":[{{"node":"192.0.2.11:7500","wait_ms":0.4}},{{"node":"192.0.2.12:7500","wait_ms":12.0,"excluded":"draining"}}],"detail":"shortest predicted wait of 2"}},{{"id":"{ID}","step":"refuse","node":null,"reason":"overloaded","verdict":"not_run","candidates":[],"detail":"the queue is full"}}]"#
    );
    let path = format!("GET /v1/explain/{ID}");
    let routes = [(path.as_str(), Reply::json(200, &decisions))];

    assert_snapshot!("explain", run_with_entry(&["explain", ID], &routes).await);
    assert_snapshot!("explain_json", run_with_entry(&["explain", ID, "--json"], &routes).await);
}

#[tokio::test]
async fn explain_reports_that_the_entry_has_no_decision() {
    let path = format!("GET /v1/explain/{ID}");

    let shown = run_with_entry(&["explain", ID], &[(&path, Reply::json(200, "[]"))]).await;

    assert_snapshot!("explain_nothing", shown);
}
