//! Starts a complete system on loopback, sends requests and jobs, changes the
//! configuration meanwhile, and checks the guarantees that are visible from outside.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use config::{Inventory, State};
use eyre::{Result, WrapErr, ensure, eyre};
use hyper::Method;
use ident::{RequestId, Timestamp};
use load::{Answer, Caller, Cluster, ClusterOptions, Submission};
use serde_json::json;
use verdict::Verdict;

const INVENTORY: &str = include_str!("../scenarios/yard.toml");

/// Time limit for a published version to come into force on every node.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Time limit for a draining endpoint to stop receiving new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Endpoint to drain.
const DRAINED: &str = "yard-2";

/// Result of one check.
struct Check {
    name: &'static str,
    result: String,
    passed: bool,
}

impl Check {
    fn new(name: &'static str, result: String, passed: bool) -> Check {
        Check { name, result, passed }
    }
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options = ClusterOptions { inventory: INVENTORY.to_owned(), entries: 2, seed: 1 };
    println!("Starting the platform's log, two entries, and an agent beside each endpoint …");
    let mut cluster = Cluster::start(&options).await?;
    let mut checks = use_system(&mut cluster).await?;
    let double_starts = cluster.double_starts();
    checks.push(Check::new(
        "requests started at most once",
        format!("{double_starts} ids started more than once"),
        double_starts == 0,
    ));
    let clean = cluster.stop().await;
    checks.push(Check::new("graceful shutdown", "every node".to_owned(), clean));
    Ok(print(&checks))
}

async fn use_system(cluster: &mut Cluster) -> Result<Vec<Check>> {
    let callers: Vec<Caller> =
        cluster.entries.iter().filter_map(|entry| entry.http_address()).map(Caller::new).collect();
    let mut checks = Vec::new();
    checks.push(check_requests(&callers, "slot-check", 60).await?);
    checks.push(check_requests(&callers, "wrap-ticket", 40).await?);
    checks.push(check_resubmission(&callers).await?);
    checks.push(check_job(&callers[0]).await?);
    checks.push(check_refusal(&callers[0]).await?);
    checks.push(check_cancellation(&callers).await?);
    checks.extend(check_drain(cluster, &callers).await?);
    Ok(checks)
}

async fn check_requests(callers: &[Caller], kind: &'static str, count: usize) -> Result<Check> {
    let mut tasks = Vec::new();
    for index in 0..count {
        let caller = callers[index % callers.len()].clone();
        let id = (kind == "wrap-ticket").then(new_id);
        tasks.push(tokio::spawn(async move { caller.submit(&submission(kind, id)).await }));
    }
    let mut done = 0;
    for task in tasks {
        done += usize::from(task.await??.is_done());
    }
    let result = format!("{done} of {count} {kind} done");
    Ok(Check::new("requests", result, done == count))
}

async fn check_resubmission(callers: &[Caller]) -> Result<Check> {
    let id = new_id();
    let first = callers[0].submit(&submission("wrap-ticket", Some(id))).await?;
    let second = callers[1].submit(&submission("wrap-ticket", Some(id))).await?;
    let same = first.is_done() && first.body == second.body;
    Ok(Check::new("resubmission by another entry", "the first answer again".to_owned(), same))
}

async fn check_job(caller: &Caller) -> Result<Check> {
    let task = json!({"cores": 2, "memory_mb": 1024, "run_ms": 100});
    let job = json!({"id": new_id(), "team": "yard", "urgency": "normal", "tasks": vec![task; 40]});
    let answer = caller.submit_job(&job).await?;
    let body: serde_json::Value = serde_json::from_slice(&answer.body).wrap_err("reading a job")?;
    let results = body["results"].as_array().map_or(0, Vec::len);
    Ok(Check::new("job", format!("{results} of 40 results, {}", body["status"]), results == 40))
}

async fn check_refusal(caller: &Caller) -> Result<Check> {
    let task = json!({"cores": 1000, "memory_mb": 1024, "run_ms": 100});
    let job = json!({"id": new_id(), "team": "yard", "urgency": "normal", "tasks": [task]});
    let answer = caller.submit_job(&job).await?;
    let refused = answer.verdict == Some(Verdict::NotRun) && answer.status == 422;
    Ok(Check::new("job that fits no worker", verdict_text(&answer), refused))
}

async fn check_cancellation(callers: &[Caller]) -> Result<Check> {
    let id = new_id();
    callers[0].call(Method::DELETE, &format!("/v1/requests/{id}")).await?;
    let answer = callers[1].submit(&submission("wrap-ticket", Some(id))).await?;
    let cancelled = answer.verdict == Some(Verdict::NotRun) && answer.status == 409;
    Ok(Check::new("cancellation before submission", verdict_text(&answer), cancelled))
}

async fn check_drain(cluster: &mut Cluster, callers: &[Caller]) -> Result<Vec<Check>> {
    let (base, text) = drained_inventory(&callers[0]).await?;
    let started = Instant::now();
    let version = cluster.publish(base, &text).await?;
    cluster.wait_in_force(version, IN_FORCE_LIMIT).await?;
    let millis = started.elapsed().as_millis();
    let in_force = Check::new(
        "new version in force everywhere",
        format!("version {version} in {millis} ms"),
        true,
    );
    let stale = cluster.publish(base, &text).await?;
    let refused = cluster.wait_in_force(stale, Duration::from_millis(200)).await.is_err();
    let conflict = Check::new("publish from a stale base", "changed nothing".to_owned(), refused);

    tokio::time::sleep(DRAIN_LIMIT.saturating_sub(started.elapsed())).await;
    let before = cluster.host(DRAINED)?.starts();
    let requests = check_requests(callers, "wrap-ticket", 60).await?;
    let after = cluster.host(DRAINED)?.starts();
    let drained = Check::new(
        "drained endpoint",
        format!("{} new starts on {DRAINED}; {}", after - before, requests.result),
        after == before && requests.passed,
    );
    Ok(vec![in_force, conflict, drained])
}

async fn drained_inventory(caller: &Caller) -> Result<(u64, String)> {
    let answer = caller.call(Method::GET, "/v1/status").await?;
    let status: node::NodeStatus = serde_json::from_slice(&answer.body)?;
    let mut inventory = Inventory::parse(INVENTORY).wrap_err("checking the inventory")?;
    let executor = inventory.executors.iter_mut().find(|it| it.name == DRAINED);
    executor.ok_or_else(|| eyre!("{DRAINED} is not declared"))?.state = State::Draining;
    ensure!(status.version > 0, "the entry has no configuration");
    Ok((status.version, inventory.to_toml()))
}

fn submission(kind: &str, id: Option<RequestId>) -> Submission<'_> {
    Submission {
        id,
        service: "yardbook",
        kind,
        team: "yard",
        deadline: None,
        declared: None,
        run_time: Duration::from_millis(50),
    }
}

fn new_id() -> RequestId {
    RequestId::new(Timestamp::now(), rand::random())
}

fn verdict_text(answer: &Answer) -> String {
    let verdict = answer.verdict.map_or("no verdict".to_owned(), |verdict| verdict.to_string());
    format!("{verdict}, status {}", answer.status)
}

fn print(checks: &[Check]) -> ExitCode {
    println!();
    for check in checks {
        let mark = if check.passed { "ok  " } else { "FAIL" };
        println!("{mark}  {:<34} {}", check.name, check.result);
    }
    match checks.iter().all(|check| check.passed) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
