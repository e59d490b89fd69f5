//! Coordination of the jobs whose ids this agent owns.

use std::{collections::HashMap, time::Duration};

use ident::{NodeId, RequestId};
use jobs::{Action, TaskResult};
use ledger::{Admission, Entry};
use node::{LinkError, ReplyTo};
use verdict::{Outcome, Proof, Reason, Refusal};
use wire::{Call, JobSpec, JobStatus, Reply, Status};

use crate::{
    Agent,
    deferral::DeferredCall,
    outcome_waiters::ReplyKind,
    request::{NOTICE_TIMEOUT, Pending},
};

/// Time beyond the job's deadline in which a worker may still report a task's end.
const TASK_GRACE: Duration = Duration::from_secs(5);

/// Calls that wait for jobs to end.
#[derive(Debug, Default)]
pub struct JobWaiters {
    by_job: HashMap<RequestId, Vec<ReplyTo>>,
}

impl JobWaiters {
    fn add(&mut self, job: RequestId, waiter: ReplyTo) {
        self.by_job.entry(job).or_default().push(waiter);
    }

    fn take(&mut self, job: RequestId) -> Vec<ReplyTo> {
        self.by_job.remove(&job).unwrap_or_default()
    }
}

impl Agent {
    /// Handles a job submission; the reply follows when the job ends.
    pub(crate) fn on_submit(&mut self, from: ReplyTo, spec: JobSpec) {
        let id = spec.id;
        if self.jobs.status(id).is_some() {
            return self.job_waiters.add(id, from);
        }
        if let Some(Entry::Finished(outcome)) = self.ledger.get(id) {
            return self.reply(from, Reply::Job(JobStatus::Ended(outcome)));
        }
        match self.should_defer(id) {
            true => self.defer(from, DeferredCall::Submit(Box::new(spec))),
            false => self.decide_job(from, spec),
        }
    }

    /// Starts or refuses a job, attaches the call to an earlier start of the id, or
    /// repeats a recorded outcome.
    pub(crate) fn decide_job(&mut self, from: ReplyTo, spec: JobSpec) {
        let id = spec.id;
        if let Err(refusal) = self.check_authority(id) {
            return self.refuse_job(from, refusal);
        }
        match self.ledger.admit(id, spec.attempt, spec.submitted, self.now) {
            Admission::Start if spec.over_quota => {
                let message = format!("Team {:?} has used up its quota.", spec.team);
                let proof = Proof::owner_never_started();
                let refusal = Refusal::not_run(proof, Reason::OverQuota, message)
                    .with_retry_after(Duration::from_secs(1));
                self.ledger.refuse(id, spec.attempt, refusal.clone(), self.now);
                self.refuse_job(from, refusal);
            }
            Admission::Start => {
                self.job_waiters.add(id, from);
                let actions = self.jobs.submit(spec, self.now);
                self.apply_actions(actions);
            }
            Admission::Attach => self.await_outcome(from, ReplyKind::Job, id, spec.budget),
            Admission::Repeat(outcome) => self.reply(from, Reply::Job(JobStatus::Ended(outcome))),
            Admission::Refused(refusal) => self.refuse_job(from, refusal),
        }
    }

    fn refuse_job(&mut self, to: ReplyTo, refusal: Refusal) {
        self.reply(to, Reply::Job(JobStatus::Ended(Outcome::Refused(refusal))));
    }

    /// Reports the status of a job.
    pub(crate) fn on_ask_job(&mut self, from: ReplyTo, id: RequestId) {
        if let Some(status) = self.jobs.status(id) {
            return self.reply(from, Reply::Job(status));
        }
        match self.ledger.get(id) {
            Some(Entry::Finished(outcome)) => {
                self.reply(from, Reply::Job(JobStatus::Ended(outcome)));
            }
            Some(Entry::Running | Entry::Refused(_)) | None => {
                self.reply(from, Reply::Status(Status::Unknown));
            }
        }
    }

    /// Cancels a running job and stops its tasks.
    pub(crate) fn cancel_job(&mut self, from: ReplyTo, id: RequestId) {
        let actions = self.jobs.cancel(id, self.now);
        self.apply_actions(actions);
        let status = match self.ledger.get(id) {
            Some(Entry::Finished(outcome)) => Status::Ended(outcome),
            Some(Entry::Running | Entry::Refused(_)) | None => Status::Running,
        };
        self.reply(from, Reply::Status(status));
    }

    /// Enforces the jobs' deadlines and renews their leases.
    pub(crate) fn tick_jobs(&mut self) {
        let actions = self.jobs.tick(self.now);
        self.apply_actions(actions);
    }

    /// Handles the result of a task that a worker's agent ran.
    pub(crate) fn on_task_reply(
        &mut self,
        job: RequestId,
        index: u32,
        _node: NodeId,
        reply: Result<Reply, LinkError>,
    ) {
        let result = match reply {
            Ok(Reply::Task(outcome)) => TaskResult::from(outcome),
            Err(LinkError::NotSent) => TaskResult::Refused,
            Ok(_) | Err(LinkError::Lost) => TaskResult::Lost,
        };
        let actions = self.jobs.on_task_result(job, index, result, self.now);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { node, start } => {
                    let pending = Pending::Task { job: start.job, index: start.index, node };
                    let timeout = start.budget + TASK_GRACE;
                    self.call(pending, node, Call::StartTask(start), timeout);
                }
                Action::Renew { node, job, lease } => {
                    let call = Call::RenewTasks { job, lease };
                    self.call(Pending::Notice, node, call, NOTICE_TIMEOUT);
                }
                Action::Stop { node, job } => {
                    let call = Call::StopTasks { job };
                    self.call(Pending::Notice, node, call, NOTICE_TIMEOUT);
                }
                Action::Ended { job, outcome } => self.end_job(job, outcome),
                Action::LogDecision(decision) => self.record_decision(decision),
            }
        }
    }

    fn end_job(&mut self, job: RequestId, outcome: Outcome) {
        self.ledger.finish(job, outcome.clone(), self.now);
        for waiter in self.job_waiters.take(job) {
            self.reply(waiter, Reply::Job(JobStatus::Ended(outcome.clone())));
        }
    }
}
