//! Why jobs fail, in whole sentences.

use std::time::Duration;

use ident::NodeId;
use verdict::{Proof, Reason, Refusal};

use crate::{job::Job, results::MAX_ANSWER_BYTES};

/// Why a job has ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The job cannot be run as it is declared.
    Invalid(String),
    /// A task fits no worker.
    CannotFit(String),
    /// The job runs longer than its caller waits.
    TooLong { declared: Duration },
    /// Jobs before it have waited this long already.
    Overloaded { wait: Duration },
    /// Too many workers refused the task.
    NoRoom { index: u32 },
    /// The task's worker answered with a failure.
    Failed { index: u32, node: NodeId, status: u16 },
    /// The task may have run and has no result.
    Lost { index: u32, node: NodeId },
    /// The answer would be too long.
    TooLarge,
    /// The deadline has passed.
    DeadlineMissed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Refuses a job: `not_run` if none of its tasks may have been started.
pub(crate) fn refuse(job: &Job, cause: &Cause) -> Refusal {
    let (reason, message) = (reason(cause), message(job, cause));
    let refusal = match job.never_started() {
        true => Refusal::not_run(Proof::owner_never_started(), reason, message),
        false => Refusal::may_have_run(reason, message),
    };
    match cause {
        Cause::Overloaded { wait } => refusal.with_retry_after(*wait),
        Cause::Invalid(_)
        | Cause::CannotFit(_)
        | Cause::TooLong { .. }
        | Cause::NoRoom { .. }
        | Cause::Failed { .. }
        | Cause::Lost { .. }
        | Cause::TooLarge
        | Cause::DeadlineMissed
        | Cause::Cancelled => refusal,
    }
}

fn reason(cause: &Cause) -> Reason {
    match cause {
        Cause::Invalid(_) => Reason::Invalid,
        Cause::CannotFit(_) => Reason::CannotFit,
        Cause::TooLong { .. } | Cause::DeadlineMissed => Reason::DeadlineMissed,
        Cause::Overloaded { .. } | Cause::NoRoom { .. } => Reason::Overloaded,
        Cause::Failed { .. } | Cause::TooLarge => Reason::TaskFailed,
        Cause::Lost { .. } => Reason::ConnectionLost,
        Cause::Cancelled => Reason::Cancelled,
    }
}

fn message(job: &Job, cause: &Cause) -> String {
    let total = job.total();
    match cause {
        Cause::Invalid(message) | Cause::CannotFit(message) => message.clone(),
        Cause::TooLong { declared } => format!(
            "a task declares to run for {} ms, but the deadline is {} ms away; set a later one",
            declared.as_millis(),
            job.spec.budget.as_millis()
        ),
        Cause::Overloaded { wait } => format!(
            "earlier jobs have waited for {} ms, which leaves too little time; submit again later",
            wait.as_millis()
        ),
        Cause::NoRoom { index } => {
            format!("task {index} of {total} found no room on any worker; submit again later")
        }
        Cause::Failed { index, node, status } => {
            format!("task {index} of {total} failed on {node} with status {status}")
        }
        Cause::Lost { index, node } => {
            format!("task {index} of {total} may have run on {node}, but its result is lost")
        }
        Cause::TooLarge => {
            format!("the results are longer than {MAX_ANSWER_BYTES} bytes; submit smaller jobs")
        }
        Cause::DeadlineMissed => "the deadline passed before all tasks had ended".to_owned(),
        Cause::Cancelled => "the job was cancelled".to_owned(),
    }
}
