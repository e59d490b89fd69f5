//! Tasks that run on the local worker on behalf of a job's coordinator.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use ident::{RequestId, Timestamp};
use node::{Effect, LinkError, ReplyTo, TaskToken};
use placement::Health;
use slotmap::{SlotMap, new_key_type};
use verdict::{Answer, Outcome, Proof, Reason, Refusal};
use wire::{Load, Reply, StartTask};

use crate::{Agent, task_key, task_token};

new_key_type! {
    /// Identifies a task on the local worker.
    pub struct TaskKey;
}

/// Consecutive failed jobs after which the worker is temporarily ejected.
const MAX_FAILED_JOBS: u32 = 5;

/// Time for which a stopped job is remembered, so that a start that arrives after
/// the stop is refused.
const STOP_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of stopped jobs that are remembered.
const MAX_STOPPED_JOBS: usize = 4096;

/// Tasks on the local worker and the worker's health.
#[derive(Debug)]
pub struct LocalTasks {
    tasks: SlotMap<TaskKey, LocalTask>,
    by_job: HashMap<RequestId, Vec<TaskKey>>,
    stopped: VecDeque<StoppedJob>,
    health: Health,
    cores: u32,
}

/// A task on the local worker.
#[derive(Debug)]
struct LocalTask {
    job: RequestId,
    index: u32,
    cores: u32,
    expected: Duration,
    waiter: ReplyTo,
}

/// A job whose tasks were stopped.
#[derive(Debug)]
struct StoppedJob {
    job: RequestId,
    stopped_at: Timestamp,
}

impl LocalTasks {
    /// Creates an empty set of tasks.
    pub fn new() -> LocalTasks {
        LocalTasks {
            tasks: SlotMap::with_key(),
            by_job: HashMap::new(),
            stopped: VecDeque::new(),
            health: Health::new(MAX_FAILED_JOBS),
            cores: 0,
        }
    }

    /// Sets the worker's number of cores as given in the inventory.
    pub fn set_cores(&mut self, cores: u32) {
        self.cores = cores;
    }

    /// Whether no task runs.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Load of the worker; each core counts as one slot.
    pub fn load(&self) -> Load {
        let busy = self.tasks.values().map(|task| task.cores).sum();
        let backlog = self.tasks.values().map(|task| task.expected).sum();
        Load { busy, slots: self.cores, queued: 0, backlog }
    }

    fn refusal_reason(&self, start: &StartTask, now: Timestamp) -> Option<&'static str> {
        if self.stopped.iter().any(|it| it.job == start.job) {
            return Some("the job was stopped before its task came");
        }
        if self.health.is_ejected(now) {
            return Some("the worker has failed too many jobs in a row");
        }
        if self.health.on_probation(now) && !self.tasks.is_empty() {
            return Some("the worker is on probation and runs a task already");
        }
        None
    }

    fn contains(&self, job: RequestId, index: u32) -> bool {
        let keys = self.by_job.get(&job).into_iter().flatten();
        keys.filter_map(|key| self.tasks.get(*key)).any(|task| task.index == index)
    }

    fn add(&mut self, start: &StartTask, waiter: ReplyTo) -> TaskKey {
        let key = self.tasks.insert(LocalTask {
            job: start.job,
            index: start.index,
            cores: start.task.cores,
            expected: Duration::from_millis(start.task.run_ms),
            waiter,
        });
        self.by_job.entry(start.job).or_default().push(key);
        key
    }

    fn remove(&mut self, key: TaskKey) -> Option<LocalTask> {
        let task = self.tasks.remove(key)?;
        if let Some(keys) = self.by_job.get_mut(&task.job) {
            keys.retain(|it| *it != key);
            if keys.is_empty() {
                self.by_job.remove(&task.job);
            }
        }
        Some(task)
    }

    fn tokens(&self, job: RequestId) -> Vec<TaskToken> {
        let keys = self.by_job.get(&job).into_iter().flatten();
        keys.map(|key| task_token(*key)).collect()
    }

    fn record_stop(&mut self, job: RequestId, now: Timestamp) {
        while let Some(oldest) = self.stopped.front() {
            if oldest.stopped_at + STOP_RETENTION > now && self.stopped.len() < MAX_STOPPED_JOBS {
                break;
            }
            self.stopped.pop_front();
        }
        self.stopped.push_back(StoppedJob { job, stopped_at: now });
    }

    /// Counts a result towards the worker's health. A task lost after its job was
    /// stopped is not counted as failed.
    fn update_health(
        &mut self,
        job: RequestId,
        result: &Result<Answer, LinkError>,
        now: Timestamp,
    ) {
        let was_stopped = self.stopped.iter().any(|it| it.job == job);
        match result {
            Ok(answer) if answer.status < 500 => self.health.on_done(),
            Ok(_) => self.health.on_failed(job, now),
            Err(LinkError::Lost) if !was_stopped => self.health.on_failed(job, now),
            Err(LinkError::Lost | LinkError::NotSent) => {}
        }
    }
}

impl Agent {
    /// Starts a task for its coordinator.
    pub(crate) fn on_start_task(&mut self, from: ReplyTo, start: StartTask) {
        if !self.accepts_work() {
            let message = format!("{} takes no new tasks.", self.options.node);
            return self.refuse_task(from, Reason::NoEndpoint, message);
        }
        if let Some(reason) = self.tasks.refusal_reason(&start, self.now) {
            let message = format!("{} takes no task now: {reason}.", self.options.node);
            return self.refuse_task(from, Reason::Overloaded, message);
        }
        if self.tasks.contains(start.job, start.index) {
            let message = format!("Task {} of {} runs already.", start.index, start.job);
            let refusal = Refusal::may_have_run(Reason::Invalid, message);
            return self.reply(from, Reply::Task(Outcome::Refused(refusal)));
        }
        let key = self.tasks.add(&start, from);
        self.effects.push(Effect::StartTask { token: task_token(key), task: start });
    }

    fn refuse_task(&mut self, to: ReplyTo, reason: Reason, message: String) {
        let refusal = Refusal::not_run(Proof::attempt_never_started(), reason, message);
        self.reply(to, Reply::Task(Outcome::Refused(refusal)));
    }

    /// Handles the local worker's answer.
    pub(crate) fn on_task_ended(&mut self, token: TaskToken, result: Result<Answer, LinkError>) {
        let Some(task) = self.tasks.remove(task_key(token)) else { return };
        self.tasks.update_health(task.job, &result, self.now);
        match result {
            Ok(answer) => self.reply(task.waiter, Reply::Task(Outcome::Done(answer))),
            Err(LinkError::NotSent) => {
                let message = "The worker did not take the task.";
                self.refuse_task(task.waiter, Reason::Overloaded, message.to_owned());
            }
            Err(LinkError::Lost) => {
                let message = "The worker was lost or stopped the task; it may have run.";
                let refusal = Refusal::may_have_run(Reason::TaskFailed, message);
                self.reply(task.waiter, Reply::Task(Outcome::Refused(refusal)));
            }
        }
    }

    /// Renews the leases of a job's tasks.
    pub(crate) fn on_renew_tasks(&mut self, from: ReplyTo, job: RequestId, lease: Duration) {
        for token in self.tasks.tokens(job) {
            self.effects.push(Effect::RenewTask { token, lease });
        }
        self.reply(from, Reply::Ack);
    }

    /// Stops a job's tasks.
    pub(crate) fn on_stop_tasks(&mut self, from: ReplyTo, job: RequestId) {
        self.tasks.record_stop(job, self.now);
        for token in self.tasks.tokens(job) {
            self.effects.push(Effect::StopTask { token });
        }
        self.reply(from, Reply::Ack);
    }
}
