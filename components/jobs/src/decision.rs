//! Decisions about jobs, as the agent logs them.

use node::{Decision, Step};
use placement::{Choice, Resources};
use verdict::Refusal;

use crate::{job::Job, refusal::Cause};

/// Decision to place a task on a worker.
pub(crate) fn placement_decision(job: &Job, index: u32, choice: Choice) -> Decision {
    let size = Resources::of(&job.spec.tasks[index as usize]);
    Decision {
        id: job.spec.id,
        step: Step::Place,
        node: Some(choice.node),
        reason: None,
        verdict: None,
        candidates: Vec::new(),
        detail: format!(
            "task {index} of {} ({size}); the worker has {} left",
            job.total(),
            choice.left
        ),
    }
}

/// Decision to refuse or cancel a job, or to let it fail.
pub(crate) fn refusal_decision(job: &Job, cause: &Cause, refusal: &Refusal) -> Decision {
    let step = match cause {
        Cause::Cancelled => Step::Cancel,
        Cause::Invalid(_)
        | Cause::CannotFit(_)
        | Cause::RunTooLong { .. }
        | Cause::Overloaded { .. }
        | Cause::TooManyRefusals { .. }
        | Cause::Failed { .. }
        | Cause::Lost { .. }
        | Cause::AnswerTooLarge
        | Cause::DeadlineMissed => Step::Refuse,
    };
    Decision {
        id: job.spec.id,
        step,
        node: None,
        reason: Some(refusal.reason),
        verdict: Some(refusal.verdict()),
        candidates: Vec::new(),
        detail: refusal.message.clone(),
    }
}
