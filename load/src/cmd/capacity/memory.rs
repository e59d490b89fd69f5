//! Memory per agent, id, request and task.
//!
//! Measured objects are leaked on purpose: freed memory would be reused by the next
//! measurement and hide its growth of the resident memory.

use std::{fs, mem, time::Duration};

use eyre::{Result, WrapErr, eyre};
use ident::{RequestId, Timestamp};
use ledger::{Ledger, Limits};
use node::{CallerToken, Event};
use placement::Placer;
use verdict::Outcome;
use wire::{Datagram, JobSpec, TaskSpec};

use super::{
    cores::{self, Cost},
    fleet::{self, START},
    requests::{answer, caller_request},
};

/// Size of a page in `/proc/self/statm`.
const PAGE_BYTES: usize = 4096;
/// Entries to average over.
const ENTRIES: u32 = 40;
/// Numbers of ids to measure.
const IDS: [u32; 3] = [50_000, 100_000, 200_000];
/// Numbers of requests to measure.
const REQUESTS: [u64; 3] = [5_000, 10_000, 20_000];
/// Numbers of workers, each with an agent, to measure.
const AGENTS: [u32; 3] = [100, 400, 1200];
/// Numbers of jobs to measure.
const JOBS: [u64; 3] = [30, 100, 300];
/// Tasks per job.
const TASKS: u32 = 340;

/// Prints one row per kind of object and size.
pub fn measure() -> Result<()> {
    println!("{:<34} {:>8} {:>12} {:>10}", "thing", "number", "bytes", "bytes each");
    for agents in AGENTS {
        measure_agents(agents)?;
    }
    for ids in IDS {
        measure_ids(ids)?;
    }
    for requests in REQUESTS {
        measure_requests(requests)?;
    }
    for jobs in JOBS {
        measure_jobs(jobs)?;
    }
    for workers in AGENTS {
        measure_states(workers)?;
    }
    Ok(())
}

/// Measures the agents known to an entry: membership, routing, and answers to heartbeats.
fn measure_agents(workers: u32) -> Result<()> {
    let state = fleet::shared_state(workers)?;
    let reports = fleet::reports(workers);
    let before = resident_bytes()?;
    for index in 0..ENTRIES {
        let mut entry = cores::entry(index % fleet::ENTRIES, &state, 1);
        for report in &reports {
            let mut report = report.clone();
            report.sequence = 1;
            let event = Event::Datagram(Datagram::Heartbeat(report));
            entry.handle(START + Duration::from_secs(1), event, &mut Cost::default());
        }
        mem::forget(entry);
    }
    let count = ENTRIES as usize * reports.len();
    print_row("agent known to an entry", workers, count, before)
}

/// Measures ids with answers in a ledger.
fn measure_ids(count: u32) -> Result<()> {
    let before = resident_bytes()?;
    let mut ledger = Ledger::new(Limits::default());
    for number in 0..count {
        let id = id(u64::from(number));
        ledger.admit(id, 1, START, START);
        ledger.finish(id, Outcome::Done(answer()), START);
    }
    mem::forget(ledger);
    print_row("id with a 100-byte answer", count, count as usize, before)
}

/// Measures requests in progress on an entry.
fn measure_requests(count: u64) -> Result<()> {
    let state = fleet::shared_state(100)?;
    let mut entry = cores::entry(0, &state, 1);
    let now = START + Duration::from_secs(1);
    for report in fleet::reports(100) {
        let mut report = report.clone();
        report.sequence = 1;
        report.load.slots = 1_000_000;
        let event = Event::Datagram(Datagram::Heartbeat(report));
        entry.handle(now, event, &mut Cost::default());
    }
    let before = resident_bytes()?;
    for number in 0..count {
        let request = caller_request("check");
        let event = Event::CallerRequest { token: CallerToken(number), request };
        entry.handle(now, event, &mut Cost::default());
    }
    mem::forget(entry);
    print_row("request in progress on an entry", count as u32, count as usize, before)
}

/// Measures tasks of jobs in progress on a coordinator, running or queued.
fn measure_jobs(count: u64) -> Result<()> {
    let mut jobs = jobs::Jobs::new(Placer::new(&fleet::zone(0), 1));
    jobs.set_inventory(&fleet::inventory(fleet::FULL_WORKERS));
    for report in fleet::reports(fleet::FULL_WORKERS) {
        jobs.placer().on_report(&report, START);
    }
    let before = resident_bytes()?;
    for number in 0..count {
        jobs.submit(job(number), START);
    }
    let open = jobs.len();
    mem::forget(jobs);
    print_row("task of a job in progress", open as u32, open * TASKS as usize, before)
}

/// Measures replicated states, with the inventory's text and its parsed form.
fn measure_states(workers: u32) -> Result<()> {
    const STATES: usize = 20;
    let before = resident_bytes()?;
    for _ in 0..STATES {
        mem::forget(fleet::state(workers)?);
    }
    print_row("state of the system", workers, STATES, before)
}

/// Job of the maximum size, with one-core tasks.
pub fn job(number: u64) -> JobSpec {
    let task = |_| TaskSpec {
        cores: 1,
        memory_mb: 1024,
        accelerators: 0,
        run_ms: 500,
        body: String::new(),
    };
    JobSpec {
        id: id(number),
        attempt: 1,
        submitted: START,
        over_quota: false,
        team: "team-000".to_owned(),
        urgency: "urgent".to_owned(),
        budget: Duration::from_secs(3),
        tasks: (0..TASKS).map(task).collect(),
    }
}

fn id(number: u64) -> RequestId {
    let mut random = [0; 10];
    random[..8].copy_from_slice(&number.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_le_bytes());
    RequestId::new(Timestamp::from_millis(START.as_millis()), random)
}

fn print_row(name: &str, size: u32, count: usize, before: usize) -> Result<()> {
    let bytes = resident_bytes()?.saturating_sub(before);
    println!("{name:<34} {size:>8} {bytes:>12} {:>10}", bytes / count.max(1));
    Ok(())
}

/// Resident memory of this process.
pub fn resident_bytes() -> Result<usize> {
    let text = fs::read_to_string("/proc/self/statm").wrap_err("reading the memory in use")?;
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<usize>().ok());
    let pages = pages.ok_or_else(|| eyre!("/proc/self/statm has no second number: {text:?}"))?;
    Ok(pages * PAGE_BYTES)
}
