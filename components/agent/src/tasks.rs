//! Tasks that run on the local worker for the job's coordinator.

use std::time::Duration;

use ident::RequestId;
use node::{Effect, LinkError, ReplyTo, TaskToken};
use slotmap::new_key_type;
use verdict::{Answer, Outcome, Proof, Reason, Refusal};
use wire::{Reply, StartTask};

use crate::{Agent, task_key, task_token};

new_key_type! {
    /// Names a task on the local worker.
    pub struct TaskKey;
}

/// A task on the local worker.
#[derive(Debug)]
pub struct LocalTask {
    job: RequestId,
    index: u32,
    waiter: ReplyTo,
}

impl Agent {
    /// Starts a task for its coordinator.
    pub(crate) fn on_start_task(&mut self, from: ReplyTo, start: StartTask) {
        if !self.takes_work() {
            let message = format!("{} takes no new tasks.", self.me.node);
            return self.refuse_task(from, Reason::NoEndpoint, message);
        }
        let present = |task: &LocalTask| task.job == start.job && task.index == start.index;
        if self.tasks.values().any(present) {
            let message = format!("Task {} of {} runs already.", start.index, start.job);
            let refusal = Refusal::may_have_run(Reason::Invalid, message);
            return self.reply(from, Reply::Task(Outcome::Refused(refusal)));
        }
        let task = LocalTask { job: start.job, index: start.index, waiter: from };
        let key = self.tasks.insert(task);
        self.effects.push(Effect::StartTask { token: task_token(key), task: start });
    }

    fn refuse_task(&mut self, to: ReplyTo, reason: Reason, message: String) {
        let refusal = Refusal::not_run(Proof::attempt_never_started(), reason, message);
        self.reply(to, Reply::Task(Outcome::Refused(refusal)));
    }

    /// Takes the local worker's answer.
    pub(crate) fn on_task_ended(
        &mut self,
        token: TaskToken,
        result: Result<Answer, LinkError>,
        _took: Duration,
    ) {
        let Some(task) = self.tasks.remove(task_key(token)) else { return };
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

    /// Prolongs the leases of a job's tasks.
    pub(crate) fn on_renew_tasks(&mut self, from: ReplyTo, job: RequestId, lease: Duration) {
        for token in self.job_tokens(job) {
            self.effects.push(Effect::RenewTask { token, lease });
        }
        self.reply(from, Reply::Ack);
    }

    /// Stops a job's tasks.
    pub(crate) fn on_stop_tasks(&mut self, from: ReplyTo, job: RequestId) {
        for token in self.job_tokens(job) {
            self.effects.push(Effect::StopTask { token });
        }
        self.reply(from, Reply::Ack);
    }

    fn job_tokens(&self, job: RequestId) -> Vec<TaskToken> {
        let tasks = self.tasks.iter().filter(|(_, task)| task.job == job);
        tasks.map(|(key, _)| task_token(key)).collect()
    }
}
