//! The daemon and the command-line tool as separate processes.

mod process;
mod system;

use std::time::Duration;

use serde_json::{Value, json};
use system::{System, new_id, submit, wait_until, wrap_ticket};
use verdict::Verdict;

use crate::process::run_daemon;

/// Run time of a request that is in progress when its agent is stopped.
const SLOW: Duration = Duration::from_secs(2);

const TICKET: [&str; 7] =
    ["submit", "--service", "yardbook", "--kind", "wrap-ticket", "--team", "yard"];

#[tokio::test]
async fn a_resubmission_by_the_other_entry_gets_the_first_answer() {
    let system = System::start().await;
    let id = new_id();
    let text = id.to_string();
    let args = [&TICKET[..], &["--id", &text, "--body", "{\"run_ms\": 5}", "--json"]].concat();

    let first = system.tool(0, &args).await;
    let second = system.tool(1, &args).await;

    assert_eq!((first.code, second.code), (Some(0), Some(0)));
    assert_eq!(parse(&first.stdout)["body"], parse(&second.stdout)["body"]);
    assert_eq!(system.runs(id), 1);
}

#[tokio::test]
async fn a_job_is_complete() {
    let system = System::start().await;
    let task = json!({"cores": 1, "memory_mb": 64, "run_ms": 20});
    let job = json!({"team": "yard", "urgency": "normal", "tasks": vec![task; 6]});
    let file = std::env::temp_dir().join(format!("primrosemux-job-{}.json", new_id()));
    std::fs::write(&file, job.to_string()).unwrap();

    let exited = wait_until(async || {
        // Jobs have their own group, whose owners may be appointed later.
        let exited = system.tool(0, &["job", file.to_str().unwrap(), "--json"]).await;
        (parse(&exited.stdout)["reason"] != "not_owner").then_some(exited)
    })
    .await;

    std::fs::remove_file(&file).unwrap();
    assert_eq!(exited.code, Some(0), "{}{}", exited.stdout, exited.stderr);
    assert_eq!(parse(&exited.stdout)["results"].as_array().map(Vec::len), Some(6));
}

#[tokio::test]
async fn a_cancellation_that_comes_first_keeps_the_request_from_starting() {
    let system = System::start().await;
    let id = new_id();
    let text = id.to_string();

    let cancelled = system.tool(0, &["cancel", &text]).await;
    let submitted = system.tool(1, &[&TICKET[..], &["--id", &text, "--json"]].concat()).await;

    assert_eq!((cancelled.code, submitted.code), (Some(0), Some(3)));
    assert_eq!(parse(&submitted.stdout)["reason"], "cancelled");
    assert_eq!(system.runs(id), 0);
}

#[tokio::test]
async fn a_drained_executor_gets_no_new_work() {
    let system = System::start().await;

    let drained = system.publish_tool(&["drain", "yard-2"]).await;
    let before = system.executors[1].total_runs();
    for entry in [0, 1].repeat(10) {
        let ticket = wrap_ticket(new_id(), Duration::from_millis(5));
        assert!(system.caller(entry).submit(&ticket).await.unwrap().is_done());
    }

    assert_eq!(drained.code, Some(0), "{}{}", drained.stdout, drained.stderr);
    assert_eq!(system.executors[1].total_runs(), before);
}

#[tokio::test]
async fn sigterm_interrupts_no_request() {
    let mut system = System::start().await;
    let id = new_id();
    let answer = submit(system.caller(0), wrap_ticket(id, SLOW));
    let agent = system.wait_for_start(id).await;

    system.agents[agent].process.terminate().await;
    let answer = answer.await.unwrap();
    let agent_end = system.agents[agent].process.wait().await;
    system.entries[0].process.terminate().await;
    let entry_end = system.entries[0].process.wait().await;

    assert!(answer.is_done(), "{answer:?}");
    assert_eq!((agent_end.code(), entry_end.code()), (Some(0), Some(0)));
}

#[tokio::test]
async fn a_request_whose_agent_was_killed_is_not_started_again() {
    let mut system = System::start().await;
    let id = new_id();
    let ticket = wrap_ticket(id, SLOW);
    let answer = submit(system.caller(0), ticket.clone());
    let agent = system.wait_for_start(id).await;

    system.agents[agent].process.kill().await;
    let first = answer.await.unwrap();
    let mut resubmissions = Vec::new();
    wait_until(async || {
        let answer = system.caller(1).submit(&ticket).await.unwrap();
        let has_new_owner = reason(&answer.body) == "owner_changed";
        resubmissions.push(answer.verdict);
        has_new_owner.then_some(())
    })
    .await;
    system.agents[agent].restart().await;
    resubmissions.push(system.caller(0).submit(&ticket).await.unwrap().verdict);

    assert_eq!(first.verdict, Some(Verdict::MayHaveRun));
    assert!(resubmissions.iter().all(|it| *it == Some(Verdict::MayHaveRun)), "{resubmissions:?}");
    assert_eq!(system.runs(id), 1);
}

#[tokio::test]
async fn checking_the_settings_starts_nothing() {
    let args = "entry --listen 127.0.0.1:1 --node 127.0.0.1:2 --availability-zone suva-a \
                --log 127.0.0.1:3 --check-settings";
    let args: Vec<&str> = args.split_whitespace().collect();

    let exited = run_daemon(&args).await;

    assert_eq!(exited.code, Some(0));
    assert_eq!(exited.stdout, "The settings are in order.\n");
}

#[tokio::test]
async fn an_invalid_setting_is_reported_with_its_value() {
    let args = "entry --listen 127.0.0.1:1 --node 0.0.0.0:2 --availability-zone suva-a \
                --log 127.0.0.1:3";
    let args: Vec<&str> = args.split_whitespace().collect();

    let exited = run_daemon(&args).await;

    assert_eq!(exited.code, Some(2));
    assert!(exited.stderr.starts_with("--node is \"0.0.0.0:2\"; give "), "{}", exited.stderr);
}

fn parse(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|err| panic!("{text:?} is not JSON: {err}"))
}

fn reason(body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap();
    body["error"]["reason"].as_str().unwrap_or_default().to_owned()
}
