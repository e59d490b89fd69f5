//! One job and the states of its tasks.

use std::{collections::BTreeMap, time::Duration};

use ident::{NodeId, Timestamp};
use verdict::Answer;
use wire::{JobSpec, JobStatus, StartTask, TaskSpec};

use crate::waiting::Entry;

/// Time that a task may go on without renewal.
pub(crate) const LEASE: Duration = Duration::from_secs(3);
/// Time between renewals; most tasks end before the first.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Starts of a task that may be tried without a pause between.
const FAST_TRIALS: u32 = 4;
/// Pause before the next trial; it doubles with each one.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// Longest pause between two trials.
const LONGEST_BACKOFF: Duration = Duration::from_millis(320);

/// One job and the states of its tasks.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) submitted: Timestamp,
    pub(crate) deadline: Timestamp,
    tasks: Vec<Task>,
    leases: BTreeMap<NodeId, Lease>,
    rank: u8,
    waiting: u32,
    done: u32,
}

/// A task that was started and whose result has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Started {
    pub(crate) node: NodeId,
    pub(crate) at: Timestamp,
}

#[derive(Debug)]
struct Task {
    state: TaskState,
    refusals: u32,
}

#[derive(Debug)]
enum TaskState {
    /// Not started, or certainly refused; not tried before the given time.
    Waiting(Timestamp),
    /// A start was sent; it may run.
    Started(Started),
    /// It ran and succeeded.
    Done(Answer),
}

/// Lease of all tasks of the job on one worker.
#[derive(Debug)]
struct Lease {
    tasks: u32,
    renew_at: Timestamp,
}

impl Job {
    /// Creates a job with all tasks waiting.
    pub(crate) fn new(spec: JobSpec, rank: u8, now: Timestamp) -> Job {
        let tasks = spec.tasks.iter().map(|_| Task { state: TaskState::Waiting(now), refusals: 0 });
        Job {
            submitted: now,
            deadline: now + spec.budget,
            tasks: tasks.collect(),
            leases: BTreeMap::new(),
            rank,
            waiting: spec.tasks.len() as u32,
            done: 0,
            spec,
        }
    }

    /// Number of tasks.
    pub(crate) fn total(&self) -> u32 {
        self.tasks.len() as u32
    }

    /// How far the job is.
    pub(crate) fn status(&self) -> JobStatus {
        JobStatus::Running { done: self.done, total: self.total() }
    }

    /// Place among the jobs that wait.
    pub(crate) fn entry(&self) -> Entry {
        Entry::new(self.spec.id, self.submitted, self.rank)
    }

    /// What is wrong with the declaration of the job, as a sentence.
    pub(crate) fn invalid(&self) -> Option<String> {
        if self.tasks.is_empty() {
            return Some("tasks is empty; declare at least one task".to_owned());
        }
        let index = self.spec.tasks.iter().position(|task| task.cores == 0)?;
        Some(format!("tasks[{index}].cores is 0; declare at least 1"))
    }

    /// Longest declared run time of a task.
    pub(crate) fn longest_run(&self) -> Duration {
        let longest = self.spec.tasks.iter().map(|task| task.run_ms).max();
        Duration::from_millis(longest.unwrap_or(0))
    }

    /// Whether some task waits for a worker.
    pub(crate) fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Whether half of the time until the deadline has passed.
    pub(crate) fn used_half(&self, now: Timestamp) -> bool {
        now.since(self.submitted) >= self.spec.budget / 2
    }

    /// Positions of the tasks that wait for a worker and may be tried now.
    pub(crate) fn waiting(&self, now: Timestamp) -> impl Iterator<Item = u32> {
        let states = self.tasks.iter().zip(0..);
        let due = states.filter(move |(task, _)| match task.state {
            TaskState::Waiting(until) => until <= now,
            TaskState::Started(_) | TaskState::Done(_) => false,
        });
        due.map(|(_, index)| index)
    }

    /// Declarations of the given tasks.
    pub(crate) fn specs(&self, tasks: &[u32]) -> Vec<&TaskSpec> {
        tasks.iter().map(|index| &self.spec.tasks[*index as usize]).collect()
    }

    /// Whether no task may have run.
    pub(crate) fn never_started(&self) -> bool {
        self.tasks.iter().all(|task| matches!(task.state, TaskState::Waiting(_)))
    }

    /// Marks a waiting task as started and tells what to send.
    pub(crate) fn start(&mut self, index: u32, node: NodeId, now: Timestamp) -> StartTask {
        let task = &mut self.tasks[index as usize];
        task.state = TaskState::Started(Started { node, at: now });
        self.waiting -= 1;
        let renew_at = now + RENEW_INTERVAL;
        self.leases.entry(node).or_insert(Lease { tasks: 0, renew_at }).tasks += 1;
        StartTask {
            job: self.spec.id,
            index,
            task: self.spec.tasks[index as usize].clone(),
            lease: LEASE,
            budget: self.deadline.since(now),
        }
    }

    /// Where the task runs, if its result is awaited.
    pub(crate) fn started(&self, index: u32) -> Option<Started> {
        match self.tasks.get(index as usize)?.state {
            TaskState::Started(started) => Some(started),
            TaskState::Waiting(_) | TaskState::Done(_) => None,
        }
    }

    /// Records that a started task succeeded.
    pub(crate) fn finish(&mut self, index: u32, answer: Answer) {
        self.end_lease(index);
        self.tasks[index as usize].state = TaskState::Done(answer);
        self.done += 1;
    }

    /// Records that a started task was refused; returns how often it was so far.
    pub(crate) fn refuse(&mut self, index: u32, now: Timestamp) -> u32 {
        self.end_lease(index);
        let task = &mut self.tasks[index as usize];
        task.refusals += 1;
        task.state = TaskState::Waiting(now + backoff(task.refusals));
        self.waiting += 1;
        task.refusals
    }

    /// Every task's answer, once all have succeeded.
    pub(crate) fn answers(&self) -> Option<Vec<&Answer>> {
        if self.done < self.total() {
            return None;
        }
        let answers = self.tasks.iter().map(|task| match &task.state {
            TaskState::Done(answer) => Some(answer),
            TaskState::Waiting(_) | TaskState::Started(_) => None,
        });
        answers.collect()
    }

    /// Tasks whose results are awaited.
    pub(crate) fn running(&self) -> impl Iterator<Item = (u32, Started)> {
        (0..self.total()).filter_map(|index| Some((index, self.started(index)?)))
    }

    /// Workers on which tasks may run.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.leases.keys().copied()
    }

    /// Workers whose leases must be renewed now.
    pub(crate) fn renew(&mut self, now: Timestamp) -> Vec<NodeId> {
        let mut due = Vec::new();
        for (node, lease) in &mut self.leases {
            if lease.renew_at <= now {
                lease.renew_at = now + RENEW_INTERVAL;
                due.push(*node);
            }
        }
        due
    }

    /// Time at which the job needs a tick.
    pub(crate) fn wake_at(&self) -> Timestamp {
        let renewals = self.leases.values().map(|lease| lease.renew_at);
        renewals.min().unwrap_or(Timestamp::MAX).min(self.deadline)
    }

    fn end_lease(&mut self, index: u32) {
        let Some(Started { node, .. }) = self.started(index) else { return };
        let Some(lease) = self.leases.get_mut(&node) else { return };
        lease.tasks -= 1;
        if lease.tasks == 0 {
            self.leases.remove(&node);
        }
    }
}

/// Time that a task waits after so many refusals.
fn backoff(refusals: u32) -> Duration {
    match refusals.checked_sub(FAST_TRIALS) {
        None => Duration::ZERO,
        Some(slow) => (FIRST_BACKOFF * (1 << slow.min(16))).min(LONGEST_BACKOFF),
    }
}
