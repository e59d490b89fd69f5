//! Actions that jobs request from the agent, and results that the agent reports.

use std::time::Duration;

use ident::{NodeId, RequestId};
use node::Decision;
use verdict::{Answer, Outcome, Verdict};
use wire::StartTask;

/// Action that the agent must perform for a job.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a task on a worker; the result is passed to [`crate::Jobs::on_task_result`].
    Start {
        /// Agent node of the worker.
        node: NodeId,
        /// Task to start.
        start: StartTask,
    },
    /// Renew the leases of the job's tasks on a worker.
    Renew {
        /// Agent node of the worker.
        node: NodeId,
        /// Job whose tasks continue.
        job: RequestId,
        /// Duration of the leases, counted from now.
        lease: Duration,
    },
    /// Stop the job's tasks on a worker; their results are no longer needed.
    Stop {
        /// Agent node of the worker.
        node: NodeId,
        /// Job whose tasks are stopped.
        job: RequestId,
    },
    /// Record and report the outcome of a job, which has ended and was removed.
    Ended {
        /// Job that ended.
        job: RequestId,
        /// Its complete answer, or the reason why it has none.
        outcome: Outcome,
    },
    /// Log a decision.
    LogDecision(Decision),
}

/// Result of starting a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskResult {
    /// The task ran and the worker answered.
    Done(Answer),
    /// It is certain that the task was not started; it may be started on another worker.
    Refused,
    /// The task may have run, but its result is unknown.
    Lost,
}

impl From<Outcome> for TaskResult {
    fn from(outcome: Outcome) -> TaskResult {
        match outcome {
            Outcome::Done(answer) => TaskResult::Done(answer),
            Outcome::Refused(refusal) => match refusal.verdict() {
                Verdict::NotRun => TaskResult::Refused,
                Verdict::MayHaveRun | Verdict::Done => TaskResult::Lost,
            },
        }
    }
}
