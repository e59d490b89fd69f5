//! Calls that wait for an outcome from the previous owner of a shard.
//!
//! An owner that shuts down hands its shards over while requests that it has
//! started still run. Their outcomes arrive with its second transfer.

use std::{collections::HashMap, time::Duration};

use ident::{RequestId, Timestamp};
use ledger::Entry;
use node::ReplyTo;
use verdict::{Outcome, Reason, Refusal};
use wire::{JobStatus, Reply};

use crate::Agent;

/// Longest wait for an outcome from a previous owner.
const MAX_AWAIT: Duration = Duration::from_secs(10);

/// Calls that wait for outcomes from previous owners.
#[derive(Debug, Default)]
pub struct Awaiting {
    by_id: HashMap<RequestId, Vec<Waiter>>,
}

/// A call that waits for an outcome.
#[derive(Debug, Clone, Copy)]
pub struct Waiter {
    /// Destination of the reply.
    pub to: ReplyTo,
    /// Kind of reply that is expected.
    pub asked: Asked,
    until: Timestamp,
}

/// Kind of reply that a waiting call expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// The outcome of a request.
    Request,
    /// The outcome of a job.
    Job,
}

impl Agent {
    /// Adds a waiter for an id that a previous owner has started.
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

    /// Answers all waiters of an id once its outcome is known.
    pub(crate) fn answer_awaiting(&mut self, id: RequestId) {
        let Some(Entry::Finished(outcome)) = self.ledger.get(id) else { return };
        for waiter in self.awaiting.by_id.remove(&id).unwrap_or_default() {
            self.answer_waiter(waiter, outcome.clone());
        }
    }

    /// Refuses the waiters whose time is up.
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
