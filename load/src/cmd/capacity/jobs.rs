//! Placement and coordination of jobs on one processor core.

use std::time::{Duration, Instant};

use eyre::Result;
use ident::Timestamp;
use jobs::{Action, Jobs, TaskResult};
use placement::Placer;
use wire::StartTask;

use super::{
    fleet::{self, START},
    memory::job,
    requests::answer,
};

/// Numbers of workers to measure.
const WORKERS: [u32; 4] = [10, 100, 400, fleet::FULL_WORKERS];
/// Jobs to average over.
const JOBS: u64 = 300;

/// Processor time of the jobs.
#[derive(Debug, Default)]
struct JobCosts {
    submit: Duration,
    results: Duration,
    started: u32,
}

/// Prints the processor time per task by the number of workers.
pub fn measure() -> Result<()> {
    println!(
        "{:>7} {:>8} {:>13} {:>13} {:>14}",
        "workers", "tasks", "submit µs/task", "result µs/task", "tasks/s a core"
    );
    for workers in WORKERS {
        let costs = run(workers);
        let micros = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(costs.started.max(1));
        let (submit, results) = (micros(costs.submit), micros(costs.results));
        println!(
            "{workers:>7} {:>8} {submit:>13.2} {results:>13.2} {:>14.0}",
            costs.started,
            1e6 / (submit + results)
        );
    }
    Ok(())
}

/// Runs the jobs one after the other, each to completion.
fn run(workers: u32) -> JobCosts {
    let mut jobs = Jobs::new(Placer::new(&fleet::zone(0), 1));
    jobs.set_inventory(&fleet::inventory(workers));
    for report in fleet::reports(workers) {
        jobs.placer().on_report(&report, START);
    }
    let mut costs = JobCosts::default();
    for number in 0..JOBS {
        let now = START + Duration::from_millis(10) * number as u32;
        let began = Instant::now();
        let actions = jobs.submit(job(number), now);
        costs.submit += began.elapsed();
        finish(&mut jobs, actions, now, &mut costs);
    }
    costs
}

/// Completes every started task, including those that start as a consequence.
fn finish(jobs: &mut Jobs, actions: Vec<Action>, now: Timestamp, costs: &mut JobCosts) {
    let mut starts: Vec<StartTask> = started(actions);
    while let Some(start) = starts.pop() {
        costs.started += 1;
        let began = Instant::now();
        let result = TaskResult::Done(answer());
        let actions = jobs.on_task_result(start.job, start.index, result, now);
        costs.results += began.elapsed();
        starts.extend(started(actions));
    }
}

fn started(actions: Vec<Action>) -> Vec<StartTask> {
    let starts = actions.into_iter().filter_map(|action| match action {
        Action::Start { start, .. } => Some(start),
        Action::Renew { .. }
        | Action::Stop { .. }
        | Action::Ended { .. }
        | Action::LogDecision(_) => None,
    });
    starts.collect()
}
