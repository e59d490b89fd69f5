//! Lifecycle of the jobs that an agent coordinates.

use std::{collections::HashMap, time::Duration};

use config::Inventory;
use ident::{NodeId, RequestId, Timestamp};
use mutation::{Mechanism, is_disabled};
use placement::{Placement, Placer};
use verdict::{Answer, Outcome};
use wire::{JobSpec, JobStatus};

use crate::{
    Action, TaskResult,
    decision::{placement_decision, refusal_decision},
    job::{Job, LEASE, Started},
    refusal::{Cause, refuse},
    results,
    timers::Timers,
    wait_queue::WaitQueue,
};

/// Refused starts of one task after which its job fails.
const MAX_TASK_REFUSALS: u32 = 32;
/// Number of jobs at the head of the queue that one placement round considers for all
/// workers.
const PLACEMENT_BATCH: usize = 4;
/// Time between two placement rounds.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(5);
/// Number of jobs at the head of the queue that are considered for a worker when a task
/// on it has succeeded.
const RELEASE_BATCH: usize = 2;
/// Number of waiting jobs at which new ones are refused.
const MAX_WAITING_JOBS: usize = 1_000;
/// Lowest HTTP status that counts as a failure of the worker, not of the task.
const MIN_SERVER_ERROR: u16 = 500;
/// Rank of an urgency that the inventory does not declare.
const UNDECLARED_RANK: u8 = u8::MAX;

/// Jobs that an agent coordinates and that have not ended.
#[derive(Debug)]
pub struct Jobs {
    placer: Placer,
    ranks: HashMap<String, u8>,
    jobs: HashMap<RequestId, Job>,
    queue: WaitQueue,
    timers: Timers,
    next_placement: Timestamp,
}

impl Jobs {
    /// Creates an empty set of jobs, whose tasks `placer` assigns to workers.
    pub fn new(placer: Placer) -> Jobs {
        Jobs {
            placer,
            ranks: HashMap::new(),
            jobs: HashMap::new(),
            queue: WaitQueue::default(),
            timers: Timers::default(),
            next_placement: Timestamp::ZERO,
        }
    }

    /// Placer, to be updated with load reports and with nodes that are gone.
    pub fn placer(&mut self) -> &mut Placer {
        &mut self.placer
    }

    /// Applies the workers and urgencies of a new inventory.
    pub fn set_inventory(&mut self, inventory: &Inventory) {
        self.placer.set_inventory(inventory);
        self.ranks = inventory.urgencies.iter().map(|it| (it.name.clone(), it.rank)).collect();
    }

    /// Starts a job that its owner has admitted; has no effect if the job is running.
    pub fn submit(&mut self, spec: JobSpec, now: Timestamp) -> Vec<Action> {
        let id = spec.id;
        if self.jobs.contains_key(&id) {
            return Vec::new();
        }
        let rank = self.ranks.get(&spec.urgency).copied().unwrap_or(UNDECLARED_RANK);
        let job = Job::new(spec, rank, now);
        let refused = self.validate(&job);
        self.jobs.insert(id, job);
        if let Some(cause) = refused {
            return self.fail(id, &cause);
        }
        self.reschedule(id);
        let mut actions = self.place(id, now);
        if let Some(wait) = self.excessive_wait(id, now) {
            actions.extend(self.fail(id, &Cause::Overloaded { wait }));
        }
        actions
    }

    /// Handles the result of a started task.
    pub fn on_task_result(
        &mut self,
        job: RequestId,
        index: u32,
        result: TaskResult,
        now: Timestamp,
    ) -> Vec<Action> {
        let Some(running) = self.jobs.get(&job) else { return Vec::new() };
        let Some(started) = running.started(index) else { return Vec::new() };
        self.placer.release(started.node, &running.spec.tasks[index as usize]);
        match result {
            TaskResult::Done(answer) if is_success(&answer) => {
                self.on_done(job, index, started, answer, now)
            }
            TaskResult::Done(answer) => {
                let status = answer.status;
                if status >= MIN_SERVER_ERROR {
                    self.placer.on_failed(started.node, job, now);
                }
                self.fail(job, &Cause::Failed { index, node: started.node, status })
            }
            TaskResult::Refused => self.on_refused(job, index, started, now),
            TaskResult::Lost => {
                self.placer.on_failed(started.node, job, now);
                self.fail(job, &Cause::Lost { index, node: started.node })
            }
        }
    }

    /// Cancels a job and stops its tasks.
    pub fn cancel(&mut self, job: RequestId, _now: Timestamp) -> Vec<Action> {
        self.fail(job, &Cause::Cancelled)
    }

    /// Ends jobs whose deadline has passed, renews leases and places waiting tasks.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(id) = self.timers.pop_due(now) {
            actions.extend(self.on_timer(id, now));
        }
        if now >= self.next_placement {
            self.next_placement = now + PLACEMENT_INTERVAL;
            actions.extend(self.place_waiting(now));
        }
        actions
    }

    /// Progress of a job that has not ended.
    pub fn status(&self, job: RequestId) -> Option<JobStatus> {
        self.jobs.get(&job).map(Job::status)
    }

    /// Number of jobs that have not ended.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether all jobs have ended.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Reason to refuse the job before any task is placed.
    fn validate(&self, job: &Job) -> Option<Cause> {
        if let Some(message) = job.declaration_error() {
            return Some(Cause::Invalid(message));
        }
        for (index, task) in job.spec.tasks.iter().enumerate() {
            if let Err(err) = self.placer.can_ever_fit(task) {
                return Some(Cause::CannotFit(format!("tasks[{index}].{err}")));
            }
        }
        let declared = job.longest_run();
        if declared.min(self.placer.expected_run_time(declared)) > job.spec.budget {
            return Some(Cause::RunTooLong { declared });
        }
        if self.queue.len() >= MAX_WAITING_JOBS {
            return Some(Cause::Overloaded { wait: self.queue_wait(job.submitted) });
        }
        None
    }

    /// Wait of the job at the head of the queue, if no task of this job has been started and
    /// the wait leaves too little time for it to run.
    fn excessive_wait(&self, id: RequestId, now: Timestamp) -> Option<Duration> {
        let job = self.jobs.get(&id)?;
        let wait = self.queue_wait(now);
        let too_long = wait + job.longest_run() > job.spec.budget;
        (job.never_started() && !wait.is_zero() && too_long).then_some(wait)
    }

    /// Time since the job at the head of the queue was submitted.
    fn queue_wait(&self, now: Timestamp) -> Duration {
        let first = self.queue.first(1).into_iter().next();
        let job = first.and_then(|id| self.jobs.get(&id));
        job.map_or(Duration::ZERO, |job| now.since(job.submitted))
    }

    fn on_done(
        &mut self,
        id: RequestId,
        index: u32,
        started: Started,
        answer: Answer,
        now: Timestamp,
    ) -> Vec<Action> {
        let Some(job) = self.jobs.get_mut(&id) else { return Vec::new() };
        let declared = Duration::from_millis(job.spec.tasks[index as usize].run_ms);
        self.placer.on_done(started.node, id, declared, now.since(started.at), now);
        job.finish(index, answer);
        let mut actions = match job.answers() {
            Some(answers) => match results::join(&answers) {
                Some(answer) => self.complete(id, answer),
                None => self.fail(id, &Cause::AnswerTooLarge),
            },
            None => Vec::new(),
        };
        self.reschedule(id);
        for waiting in self.queue.first(RELEASE_BATCH) {
            actions.extend(self.place_at(started.node, waiting, now));
        }
        actions
    }

    fn on_refused(
        &mut self,
        id: RequestId,
        index: u32,
        started: Started,
        now: Timestamp,
    ) -> Vec<Action> {
        let Some(job) = self.jobs.get_mut(&id) else { return Vec::new() };
        self.placer.on_refused(started.node, &job.spec.tasks[index as usize], now);
        if job.refuse(index, now) >= MAX_TASK_REFUSALS {
            return self.fail(id, &Cause::TooManyRefusals { index });
        }
        self.reschedule(id);
        self.place(id, now)
    }

    /// Ends the job if its deadline has passed; otherwise renews the leases that are due.
    fn on_timer(&mut self, id: RequestId, now: Timestamp) -> Vec<Action> {
        let Some(job) = self.jobs.get_mut(&id) else { return Vec::new() };
        if job.deadline <= now {
            return self.fail(id, &Cause::DeadlineMissed);
        }
        let due = job.renew_due(now);
        self.reschedule(id);
        let due = due.into_iter().filter(|_| !is_disabled(Mechanism::LeaseRenewal));
        due.map(|node| Action::Renew { node, job: id, lease: LEASE }).collect()
    }

    /// Places tasks of the first jobs in the queue.
    fn place_waiting(&mut self, now: Timestamp) -> Vec<Action> {
        let first = self.queue.first(PLACEMENT_BATCH);
        first.into_iter().flat_map(|id| self.place(id, now)).collect()
    }

    /// Places the waiting tasks of a job on any workers that have enough free capacity.
    fn place(&mut self, id: RequestId, now: Timestamp) -> Vec<Action> {
        if !self.may_place(id, now) {
            return Vec::new();
        }
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let waiting: Vec<u32> = job.startable_tasks(now).collect();
        let placement = self.placer.place(&job.task_specs(&waiting), now);
        self.start(id, waiting, placement, now)
    }

    /// Places waiting tasks of a job on one worker, which has freed capacity.
    fn place_at(&mut self, node: NodeId, id: RequestId, now: Timestamp) -> Vec<Action> {
        if !self.may_place(id, now) {
            return Vec::new();
        }
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let waiting: Vec<u32> = job.startable_tasks(now).collect();
        let placement = self.placer.place_at(node, &job.task_specs(&waiting), now);
        self.start(id, waiting, placement, now)
    }

    /// Whether the job may be placed at present: once the job at the head of the queue has used
    /// half of its time budget, no other job may, so that smaller jobs cannot starve it.
    fn may_place(&self, id: RequestId, now: Timestamp) -> bool {
        let first = self.queue.first(1).into_iter().next();
        let first = first.filter(|first| *first != id).and_then(|first| self.jobs.get(&first));
        !first.is_some_and(|job| job.past_half_budget(now))
    }

    /// Starts the tasks for which the placement has found a worker.
    fn start(
        &mut self,
        id: RequestId,
        tasks: Vec<u32>,
        placement: Placement,
        now: Timestamp,
    ) -> Vec<Action> {
        let Some(job) = self.jobs.get_mut(&id) else { return Vec::new() };
        let mut actions = Vec::new();
        for (index, choice) in tasks.into_iter().zip(placement.choices) {
            let Some(choice) = choice else { continue };
            actions.push(Action::LogDecision(placement_decision(job, index, choice)));
            let start = job.start(index, choice.node, now);
            actions.push(Action::Start { node: choice.node, start });
        }
        self.reschedule(id);
        actions
    }

    fn complete(&mut self, id: RequestId, answer: Answer) -> Vec<Action> {
        self.remove(id);
        vec![Action::Ended { job: id, outcome: Outcome::Done(answer) }]
    }

    /// Ends a job without an answer and stops its tasks that may be running.
    fn fail(&mut self, id: RequestId, cause: &Cause) -> Vec<Action> {
        let Some(job) = self.remove(id) else { return Vec::new() };
        let refusal = refuse(&job, cause);
        for (index, started) in job.running_tasks() {
            self.placer.release(started.node, &job.spec.tasks[index as usize]);
        }
        let decision = Action::LogDecision(refusal_decision(&job, cause, &refusal));
        let ended = Action::Ended { job: id, outcome: Outcome::Refused(refusal) };
        let nodes = job.nodes().filter(|_| !is_disabled(Mechanism::JobTermination));
        let stops = nodes.map(|node| Action::Stop { node, job: id });
        [decision, ended].into_iter().chain(stops).collect()
    }

    fn remove(&mut self, id: RequestId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.queue.remove(job.queue_key());
        self.timers.remove(id);
        Some(job)
    }

    /// Updates the job's timer and its membership in the queue after a change of state.
    fn reschedule(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        self.timers.set(id, job.next_timer());
        match job.is_waiting() {
            true => self.queue.add(job.queue_key()),
            false => self.queue.remove(job.queue_key()),
        }
    }
}

fn is_success(answer: &Answer) -> bool {
    (200..300).contains(&answer.status)
}
