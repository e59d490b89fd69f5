//! Refusals of jobs, with messages for their callers.

use std::time::Duration;

use ident::NodeId;
use verdict::{Proof, Reason, Refusal};

use crate::{job::Job, results::MAX_ANSWER_BYTES};

/// Reason why a job has ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The declaration of the job is invalid; the message names the field.
    Invalid(String),
    /// A task is too large for every worker; the message names the field.
    CannotFit(String),
    /// A task is expected to run past the deadline of the job.
    RunTooLong { declared: Duration },
    /// The queue is full or leaves too little time; its first job has waited for this long.
    Overloaded { wait: Duration },
    /// Workers have refused the task too many times.
    TooManyRefusals { index: u32 },
    /// The worker answered the task with a failure status.
    Failed { index: u32, node: NodeId, status: u16 },
    /// The task may have run, but its result is unknown.
    Lost { index: u32, node: NodeId },
    /// The joined answer exceeds [`MAX_ANSWER_BYTES`].
    AnswerTooLarge,
    /// The deadline has passed.
    DeadlineMissed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Creates the refusal of a job: `not_run` if no task may have been started.
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
        | Cause::RunTooLong { .. }
        | Cause::TooManyRefusals { .. }
        | Cause::Failed { .. }
        | Cause::Lost { .. }
        | Cause::AnswerTooLarge
        | Cause::DeadlineMissed
        | Cause::Cancelled => refusal,
    }
}

fn reason(cause: &Cause) -> Reason {
    match cause {
        Cause::Invalid(_) => Reason::Invalid,
        Cause::CannotFit(_) => Reason::CannotFit,
        Cause::RunTooLong { .. } | Cause::DeadlineMissed => Reason::DeadlineMissed,
        Cause::Overloaded { .. } | Cause::TooManyRefusals { .. } => Reason::Overloaded,
        Cause::Failed { .. } | Cause::AnswerTooLarge => Reason::TaskFailed,
        Cause::Lost { .. } => Reason::ConnectionLost,
        Cause::Cancelled => Reason::Cancelled,
    }
}

fn message(job: &Job, cause: &Cause) -> String {
    let total = job.total();
    match cause {
        Cause::Invalid(message) | Cause::CannotFit(message) => message.clone(),
        Cause::RunTooLong { declared } => format!(
            "a task declares to run for {} ms, but the deadline is {} ms away; set a later one",
            declared.as_millis(),
            job.spec.budget.as_millis()
        ),
        Cause::Overloaded { wait } => format!(
            "earlier jobs have waited for {} ms, which leaves too little time; submit again later",
            wait.as_millis()
        ),
        Cause::TooManyRefusals { index } => {
            format!("task {index} of {total} found no room on any worker; submit again later")
        }
        Cause::Failed { index, node, status } => {
            format!("task {index} of {total} failed on {node} with status {status}")
        }
        Cause::Lost { index, node } => {
            format!("task {index} of {total} may have run on {node}, but its result is lost")
        }
        Cause::AnswerTooLarge => {
            format!("the results are longer than {MAX_ANSWER_BYTES} bytes; submit smaller jobs")
        }
        Cause::DeadlineMissed => "the deadline passed before all tasks had ended".to_owned(),
        Cause::Cancelled => "the job was cancelled".to_owned(),
    }
}
