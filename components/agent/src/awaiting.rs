//! Requests that an earlier owner runs while it hands its shards over.

use std::{collections::HashMap, time::Duration};

use ident::{RequestId, Timestamp};
use ledger::Entry;
use node::ReplyTo;
use verdict::{Outcome, Reason, Refusal};
use wire::{JobStatus, Reply};

use crate::Agent;

/// Longest wait for the outcome of a request of an earlier owner.
const MAX_AWAIT: Duration = Duration::from_secs(10);

/// Who waits for outcomes that an earlier owner has yet to hand over.
#[derive(Debug, Default)]
pub struct Awaiting {
    by_id: HashMap<RequestId, Vec<Waiter>>,
}

/// A call that waits for such an outcome.
#[derive(Debug, Clone, Copy)]
pub struct Waiter {
    /// Where the answer goes.
    pub to: ReplyTo,
    /// What was asked.
    pub asked: Asked,
    until: Timestamp,
}

/// What a waiting call asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// The outcome of a request.
    Request,
    /// The outcome of a job.
    Job,
}

impl Agent {
    /// Waits for the outcome of an id that an earlier owner has started.
    pub(crate) fn await_predecessor(
        &mut self,
        to: ReplyTo,
        asked: Asked,
        id: RequestId,
        budget: Duration,
    ) {
        let until = self.now + budget.min(MAX_AWAIT);
        self.awaiting.by_id.entry(id).or_default().push(Waiter { to, asked, until });
    }

    /// Answers those who wait for an id whose outcome has become known.
    pub(crate) fn answer_awaiting(&mut self, id: RequestId) {
        let Some(Entry::Finished(outcome)) = self.ledger.get(id) else { return };
        for waiter in self.awaiting.by_id.remove(&id).unwrap_or_default() {
            self.answer_waiter(waiter, outcome.clone());
        }
    }

    /// Gives up on outcomes that did not come in time.
    pub(crate) fn tick_awaiting(&mut self) {
        let now = self.now;
        let mut late = Vec::new();
        self.awaiting.by_id.retain(|_, waiters| {
            late.extend(waiters.extract_if(.., |waiter| waiter.until <= now));
            !waiters.is_empty()
        });
        for waiter in late {
            let message = "An earlier owner has started this id and its outcome is not known.";
            let refusal = Refusal::may_have_run(Reason::OwnerChanged, message);
            self.answer_waiter(waiter, Outcome::Refused(refusal));
        }
    }

    fn answer_waiter(&mut self, waiter: Waiter, outcome: Outcome) {
        match waiter.asked {
            Asked::Request => self.reply_outcome(waiter.to, outcome),
            Asked::Job => self.reply(waiter.to, Reply::Job(JobStatus::Ended(outcome))),
        }
    }
}
