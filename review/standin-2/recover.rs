//! RECOVER: all processes are killed, right after a configuration was acknowledged, while large jobs
//! come in; later jobs, large or small, are counted.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
};

use crate::base::{
    Deployment, Record, SIGKILL, Span, has_trouble, job_text, random_id, request, sleep_ms, step,
    submit,
};

const ENTRIES: usize = 1;
const AGENTS: usize = 2;
/// Capacity of an executor, in thousandths of a core.
const CPU: u64 = 16_000;
/// Traffic: each period one large and one small job.
const PERIOD_MS: u64 = 100;
const LARGE_TASKS: usize = 340;
const SPEC_BYTES: usize = 4_000;
/// Time from the kill to the start, `down_s` of the final fault.
const DOWN_MS: u64 = 1_100;
const BEFORE_MS: u64 = 5_000;
const RECOVERY_MS: u64 = 12_000;
const AFTER_MS: u64 = 8_000;
const DEADLINE_MS: u64 = 1_500;
const RESEND_MS: u64 = 1_300;
/// Sends of a job at most.
const MAX_SENDS: usize = 4;

struct Outcome {
    sent: u64,
    is_large: bool,
    served: bool,
}

pub fn run(record_path: &str) -> bool {
    let mut deployment = Deployment::start(ENTRIES, AGENTS, CPU, 20);
    let record = Arc::clone(&deployment.record);
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let start = record.now();
    let total = BEFORE_MS + DOWN_MS + RECOVERY_MS + AFTER_MS;
    let traffic = {
        let (record, outcomes) = (Arc::clone(&record), Arc::clone(&outcomes));
        let to = deployment.callers[0];
        thread::spawn(move || {
            let mut clients = Vec::new();
            for period in 0.. {
                if record.now() >= start + total {
                    break;
                }
                for is_large in [true, false] {
                    if !is_large && period % 3 > 0 {
                        continue;
                    }
                    let (record, outcomes) = (Arc::clone(&record), Arc::clone(&outcomes));
                    let client = thread::Builder::new().stack_size(128 * 1_024).spawn(move || {
                        let sent = record.now();
                        let body = if is_large {
                            let spec = format!("300 {}", "x".repeat(SPEC_BYTES - 4));
                            job_text(&spec, &step(LARGE_TASKS, 5, 300, ""))
                        } else {
                            job_text("100", &step(4, 100, 100, ""))
                        };
                        let served = send(&record, to, is_large, &body);
                        outcomes.lock().unwrap().push(Outcome { sent, is_large, served });
                    });
                    clients.push(client.expect("a thread of a client"));
                }
                sleep_ms(PERIOD_MS);
            }
            clients.into_iter().for_each(|it| it.join().expect("a client"));
        })
    };
    sleep_ms(BEFORE_MS);
    deployment.publish(2);
    let fault = record.now();
    if has_trouble() {
        record.log("final fault: all processes are killed (kill_all)");
        for node in deployment.entries.iter().chain(&deployment.agents) {
            node.signal(SIGKILL);
        }
        deployment.kill_all();
        sleep_ms(DOWN_MS);
        deployment.start_all();
        record.log("all processes are started again");
    } else {
        sleep_ms(DOWN_MS);
    }
    let back = record.now();
    traffic.join().expect("the traffic");
    for (entry, at) in deployment.readiness.iter().enumerate() {
        let reply = request(*at, "GET", "/v1/readiness", "", "", 1_000);
        record.log(format!("readiness of entry {entry} at the end: {reply:?}"));
    }
    let spans = deployment.finish();
    let outcomes = outcomes.lock().unwrap();
    let share = |from: u64, to: u64, what: &str| {
        let counted: Vec<_> = outcomes.iter().filter(|it| (from..to).contains(&it.sent)).collect();
        let served = counted.iter().filter(|it| it.served).count();
        let large = counted.iter().filter(|it| it.is_large).count();
        let line = format!("{what}: {served} of {} jobs served ({large} large)", counted.len());
        record.log(line.clone());
        println!("{line}");
        (served, counted.len())
    };
    let (served_before, sent_before) = share(start, fault.saturating_sub(DEADLINE_MS), "before");
    let (served, sent) = share(back + RECOVERY_MS, u64::MAX, "later than recoveryS");
    let starts = spans.iter().filter(|it| it.from >= back + RECOVERY_MS).count();
    record.log(format!("starts on executors later than recoveryS: {starts}"));
    log_runs(&record, &spans);
    record.write(record_path);
    if sent_before == 0 || served_before * 4 < sent_before || sent == 0 {
        eprintln!("the deployment did not serve before the fault");
        std::process::exit(2);
    }
    served * 4 >= sent
}

/// Logs the runs of each job in one line.
fn log_runs(record: &Record, spans: &[Span]) {
    let mut jobs: BTreeMap<&str, Vec<&Span>> = BTreeMap::new();
    for it in spans {
        jobs.entry(it.task.split('.').next().unwrap_or_default()).or_default().push(it);
    }
    for (job, spans) in jobs {
        let (from, to) = (spans.iter().map(|it| it.from).min(), spans.iter().map(|it| it.to).max());
        let done = spans.iter().filter(|it| it.how == "done").count();
        record
            .log(format!("job {job}: {} runs, {done} done, from {from:?} to {to:?}", spans.len()));
    }
}

/// Sends a job until it is answered; one without an answer, or with 502 or 504, is sent again.
fn send(record: &Record, to: SocketAddr, is_large: bool, body: &str) -> bool {
    let job = random_id();
    let kind = if is_large { "large" } else { "small" };
    for attempt in 1..=MAX_SENDS {
        let reply = submit(to, job, DEADLINE_MS, body);
        let answer = reply.as_ref().map(|it| it.0);
        record.log(format!("{kind} job {job:016x}, send {attempt}: {answer:?}"));
        match reply {
            Some((200, text)) => return text.contains("completed"),
            None | Some((502 | 504, _)) => sleep_ms(RESEND_MS),
            Some(_) => return false,
        }
    }
    false
}
