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
const MAX_OUTCOME_WAIT: Duration = Duration::from_secs(10);

/// Calls that wait for outcomes from previous owners.
#[derive(Debug, Default)]
pub struct OutcomeWaiters {
    by_id: HashMap<RequestId, Vec<Waiter>>,
}

/// A call that waits for an outcome.
#[derive(Debug, Clone, Copy)]
pub struct Waiter {
    /// Destination of the reply.
    pub to: ReplyTo,
    /// Kind of reply that is expected.
    pub kind: ReplyKind,
    until: Timestamp,
}

/// Kind of reply that a waiting call expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyKind {
    /// The outcome of a request.
    Run,
    /// The outcome of a job.
    Job,
}

impl Agent {
    /// Makes a call wait for the outcome of an id that a previous owner has started.
    pub(crate) fn await_outcome(
        &mut self,
        to: ReplyTo,
        kind: ReplyKind,
        id: RequestId,
        budget: Duration,
    ) {
        let until = self.now + budget.min(MAX_OUTCOME_WAIT);
        self.outcome_waiters.by_id.entry(id).or_default().push(Waiter { to, kind, until });
    }

    /// Answers all waiters of an id once its outcome is known.
    pub(crate) fn answer_outcome_waiters(&mut self, id: RequestId) {
        let Some(Entry::Finished(outcome)) = self.ledger.get(id) else { return };
        for waiter in self.outcome_waiters.by_id.remove(&id).unwrap_or_default() {
            self.answer_waiter(waiter, outcome.clone());
        }
    }

    /// Refuses the calls that have waited for the longest time allowed.
    pub(crate) fn expire_outcome_waiters(&mut self) {
        let now = self.now;
        let mut expired = Vec::new();
        self.outcome_waiters.by_id.retain(|_, waiters| {
            expired.extend(waiters.extract_if(.., |waiter| waiter.until <= now));
            !waiters.is_empty()
        });
        for waiter in expired {
            let message = "An earlier owner has started this id and its outcome is not known.";
            let refusal = Refusal::may_have_run(Reason::OwnerChanged, message);
            self.answer_waiter(waiter, Outcome::Refused(refusal));
        }
    }

    fn answer_waiter(&mut self, waiter: Waiter, outcome: Outcome) {
        match waiter.kind {
            ReplyKind::Run => self.reply_outcome(waiter.to, outcome),
            ReplyKind::Job => self.reply(waiter.to, Reply::Job(JobStatus::Ended(outcome))),
        }
    }
}
