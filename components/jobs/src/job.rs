//! State of one job and of its tasks.

use std::{collections::BTreeMap, time::Duration};

use ident::{NodeId, Timestamp};
use verdict::Answer;
use wire::{JobSpec, JobStatus, StartTask, TaskSpec};

use crate::wait_queue::QueueKey;

/// Time for which a task may run without a renewal of its lease.
pub(crate) const LEASE: Duration = Duration::from_secs(3);
/// Time between two renewals; most tasks end before the first.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Attempts to start a task that are made without a delay between them.
const IMMEDIATE_ATTEMPTS: u32 = 4;
/// Initial delay before another attempt; it doubles with each refusal.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Upper limit of the delay.
const MAX_BACKOFF: Duration = Duration::from_millis(320);

/// State of one job and of its tasks.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) submitted: Timestamp,
    pub(crate) deadline: Timestamp,
    tasks: Vec<Task>,
    leases: BTreeMap<NodeId, Lease>,
    /// Rank of the job's urgency; lower ranks sort first.
    rank: u8,
    /// Number of tasks in [`TaskState::Waiting`].
    waiting: u32,
    /// Number of tasks in [`TaskState::Done`].
    done: u32,
}

/// Where and when a task was started.
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
    /// Never started, or refused before it could run; not started before the given time.
    Waiting(Timestamp),
    /// A start was sent, so the task may be running; its result is awaited.
    Started(Started),
    /// The task ran and succeeded.
    Done(Answer),
}

/// Shared lease of the job's tasks on one worker.
#[derive(Debug)]
struct Lease {
    /// Number of tasks that share the lease.
    tasks: u32,
    renew_at: Timestamp,
}

impl Job {
    /// Creates a job whose tasks are all waiting.
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

    /// Progress of the job.
    pub(crate) fn status(&self) -> JobStatus {
        JobStatus::Running { done: self.done, total: self.total() }
    }

    /// Position among the waiting jobs.
    pub(crate) fn queue_key(&self) -> QueueKey {
        QueueKey::new(self.spec.id, self.submitted, self.rank)
    }

    /// Error message for the caller if the declaration of the job is invalid.
    pub(crate) fn declaration_error(&self) -> Option<String> {
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

    /// Whether any task waits for a worker.
    pub(crate) fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Whether half of the time between submission and deadline has passed.
    pub(crate) fn past_half_budget(&self, now: Timestamp) -> bool {
        now.since(self.submitted) >= self.spec.budget / 2
    }

    /// Indexes of the waiting tasks whose backoff has passed.
    pub(crate) fn startable_tasks(&self, now: Timestamp) -> impl Iterator<Item = u32> {
        let states = self.tasks.iter().zip(0..);
        let due = states.filter(move |(task, _)| match task.state {
            TaskState::Waiting(until) => until <= now,
            TaskState::Started(_) | TaskState::Done(_) => false,
        });
        due.map(|(_, index)| index)
    }

    /// Declarations of the given tasks.
    pub(crate) fn task_specs(&self, tasks: &[u32]) -> Vec<&TaskSpec> {
        tasks.iter().map(|index| &self.spec.tasks[*index as usize]).collect()
    }

    /// Whether it is certain that no task has run.
    pub(crate) fn never_started(&self) -> bool {
        self.tasks.iter().all(|task| matches!(task.state, TaskState::Waiting(_)))
    }

    /// Marks a waiting task as started and returns the message for its worker.
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

    /// Where and when the task was started, if its result is awaited.
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

    /// Records that a started task was refused; returns the number of its refusals.
    pub(crate) fn refuse(&mut self, index: u32, now: Timestamp) -> u32 {
        self.end_lease(index);
        let task = &mut self.tasks[index as usize];
        task.refusals += 1;
        task.state = TaskState::Waiting(now + backoff(task.refusals));
        self.waiting += 1;
        task.refusals
    }

    /// Answers of all tasks in task order, once all have succeeded.
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
    pub(crate) fn running_tasks(&self) -> impl Iterator<Item = (u32, Started)> {
        (0..self.total()).filter_map(|index| Some((index, self.started(index)?)))
    }

    /// Workers on which tasks of the job may be running.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.leases.keys().copied()
    }

    /// Schedules the next renewal of all leases that are due; returns their workers.
    pub(crate) fn renew_due(&mut self, now: Timestamp) -> Vec<NodeId> {
        let mut due = Vec::new();
        for (node, lease) in &mut self.leases {
            if lease.renew_at <= now {
                lease.renew_at = now + RENEW_INTERVAL;
                due.push(*node);
            }
        }
        due
    }

    /// Time of the next lease renewal or of the deadline, whichever is first.
    pub(crate) fn next_timer(&self) -> Timestamp {
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

/// Delay before the next attempt after the given number of refusals.
fn backoff(refusals: u32) -> Duration {
    match refusals.checked_sub(IMMEDIATE_ATTEMPTS) {
        None => Duration::ZERO,
        Some(doublings) => (MIN_BACKOFF * (1 << doublings.min(16))).min(MAX_BACKOFF),
    }
}
