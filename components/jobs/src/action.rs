//! What a job asks for and what it is told.

use std::time::Duration;

use ident::{NodeId, RequestId};
use node::Decision;
use verdict::{Answer, Outcome, Verdict};
use wire::StartTask;

/// Something that the agent must do for a job.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a task on a worker; ends with [`crate::Jobs::on_task`].
    Start {
        /// Node beside the worker.
        node: NodeId,
        /// What to start.
        start: StartTask,
    },
    /// Prolong the leases of the job's tasks on a worker.
    Renew {
        /// Node beside the worker.
        node: NodeId,
        /// Job whose tasks go on.
        job: RequestId,
        /// Time that the leases last from now.
        lease: Duration,
    },
    /// Stop the job's tasks on a worker; their results are of no use.
    Stop {
        /// Node beside the worker.
        node: NodeId,
        /// Job whose tasks end.
        job: RequestId,
    },
    /// The job has ended and is forgotten here.
    Ended {
        /// Job that ended.
        job: RequestId,
        /// Its complete answer, or why it has none.
        outcome: Outcome,
    },
    /// Log a decision.
    Decide(Decision),
}

/// What became of the start of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskResult {
    /// The task ran and the worker answered.
    Done(Answer),
    /// The task was certainly not started; it may start elsewhere.
    Refused,
    /// The task may have run and has no result.
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
