//! Invariants of the system, checked against the runs of executors and the answers to callers.

use std::collections::{BTreeMap, HashMap, HashSet};

use platform_standin::Span;
use tokio::time::Instant;

use crate::deployment::{EXECUTOR_CPU, FIRST_PROBE};

/// CPU of each task of a job, in thousandths of a core.
const TASK_CPU: u64 = 400;
/// Number of failed runs of a task after which its job may fail.
const MAX_ATTEMPTS: usize = 2;

/// A job and the answers that its caller received.
#[derive(Debug, Clone)]
pub(crate) struct ObservedJob {
    pub(crate) id: u64,
    pub(crate) tasks: usize,
    /// Status and body for each submission so far; status 0 if there was no answer.
    pub(crate) answers: Vec<(u16, String)>,
    /// Whether the caller has stopped waiting.
    pub(crate) finished: bool,
}

/// Describes all violations of the invariants.
pub(crate) fn violations(spans: &[Vec<Span>], jobs: &[ObservedJob]) -> Vec<String> {
    let mut violations = overlaps(spans);
    violations.extend(overloads(spans));
    let mut by_job: HashMap<u64, Vec<&Span>> = HashMap::new();
    for span in spans.iter().flatten() {
        by_job.entry(parse_task_name(&span.task).0).or_default().push(span);
    }
    let submitted: HashSet<_> = jobs.iter().map(|it| it.id).collect();
    for (id, spans) in &by_job {
        if *id < FIRST_PROBE && !submitted.contains(id) {
            violations.push(format!("{} ran, but its job was never submitted", spans[0].task));
        }
    }
    for job in jobs {
        let spans = by_job.get(&job.id).map(Vec::as_slice).unwrap_or_default();
        violations.extend(wrong_answers(job, spans));
    }
    violations
}

/// Describes runs of the same task that overlap in time.
pub(crate) fn overlaps(spans: &[Vec<Span>]) -> Vec<String> {
    let mut by_task: BTreeMap<&str, Vec<&Span>> = BTreeMap::new();
    for span in spans.iter().flatten() {
        by_task.entry(&span.task).or_default().push(span);
    }
    let mut violations = Vec::new();
    for (task, mut runs) in by_task {
        runs.sort_by_key(|it| it.from);
        for pair in runs.windows(2) {
            if pair[1].from < pair[0].to {
                let by = pair[0].to - pair[1].from;
                let numbers = (pair[0].run, pair[1].run);
                violations.push(format!("two runs of {task}, {numbers:?}, overlap by {by:?}"));
            }
        }
    }
    violations
}

/// Describes executors whose concurrent tasks exceed their capacity.
fn overloads(spans: &[Vec<Span>]) -> Vec<String> {
    let mut violations = Vec::new();
    for (executor, spans) in spans.iter().enumerate() {
        let mut changes: Vec<(Instant, i64)> = Vec::new();
        for span in spans {
            changes.push((span.from, 1));
            changes.push((span.to, -1));
        }
        changes.sort();
        let mut tasks = 0;
        for (_, change) in changes {
            tasks += change;
            if tasks.unsigned_abs() * TASK_CPU > EXECUTOR_CPU {
                violations.push(format!("executor {executor} ran {tasks} tasks at a time"));
                break;
            }
        }
    }
    violations
}

/// Describes answers that contradict the runs of a job, and runs of tasks that it does not have.
fn wrong_answers(job: &ObservedJob, spans: &[&Span]) -> Vec<String> {
    let id = job.id;
    let mut violations = Vec::new();
    let count = |index: usize, outcome: &str| {
        let of_task = spans.iter().filter(|it| parse_task_name(&it.task).1 == index);
        of_task.filter(|it| it.outcome == Some(outcome)).count()
    };
    if spans.iter().any(|it| parse_task_name(&it.task).1 >= job.tasks) {
        violations.push(format!("job {id:x} has {} tasks, but another one ran", job.tasks));
    }
    let refused = |it: &(u16, String)| matches!(it.0, 400..=503) && it.0 != 410;
    if job.finished
        && !job.answers.is_empty()
        && job.answers.iter().all(refused)
        && !spans.is_empty()
    {
        violations.push(format!("job {id:x} was refused, but {} runs started", spans.len()));
    }
    for (status, body) in &job.answers {
        let tasks = 0..job.tasks;
        let is_consistent = match (status, body.as_str()) {
            (200, r#"{"state":"completed"}"#) => {
                tasks.clone().all(|index| count(index, "done") > 0)
            }
            (200, r#"{"state":"failed"}"#) => {
                tasks.clone().any(|index| count(index, "failed") >= MAX_ATTEMPTS)
            }
            (0 | 429 | 502 | 503 | 504, _) => true,
            _ => false,
        };
        if !is_consistent {
            violations.push(format!(
                "job {id:x} was answered with {status} {body}, which contradicts its runs"
            ));
        }
    }
    violations
}

/// Job id and task index of a task name, `job.occurrence.step.index`.
pub(crate) fn parse_task_name(task: &str) -> (u64, usize) {
    let mut parts = task.split('.');
    let job = parts.next().and_then(|it| u64::from_str_radix(it, 16).ok());
    let index = parts.nth(2).and_then(|it| it.parse().ok());
    (job.expect("a job"), index.expect("an index"))
}
