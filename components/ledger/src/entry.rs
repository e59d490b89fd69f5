//! Entries of the ledger and what they answer.

use serde::{Deserialize, Serialize};
use verdict::{Outcome, Proof, Reason, Refusal};

use crate::refused::Refused;

/// What an attempt gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admit {
    /// It may start; this is told once.
    Start,
    /// Another attempt at the id is running.
    Attach,
    /// The id has its final outcome.
    Repeat(Outcome),
    /// It must not start.
    Refused(Refusal),
}

/// What a cancellation found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cancelled {
    /// The id has not run; from now on it can't.
    NotSeen,
    /// An attempt is running.
    Running,
    /// The id has its final outcome.
    Finished(Outcome),
}

/// What is known of an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// An attempt is queued or running, here or on a predecessor.
    Running,
    /// The id has its final outcome.
    Finished(Outcome),
    /// The latest attempt was refused; another one may start.
    Refused(Refusal),
}

/// How far an id has come.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum State {
    /// All attempts so far were refused.
    Open,
    /// An attempt is queued or running here.
    Running(Attempt),
    /// An attempt is queued or running on a predecessor that handed over its ledger.
    Elsewhere,
    /// Cancelled before it started.
    Cancelled,
    /// The final outcome.
    Finished(Outcome),
    /// The id ran to its end, but its answer was dropped.
    Forgotten,
}

/// One submission of an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Attempt {
    /// Random number of the submission.
    pub number: u64,
    /// When it reached its entry.
    pub submitted: ident::Timestamp,
}

/// An id's state and its refused attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Record {
    pub state: State,
    pub refused: Refused,
}

impl Record {
    pub(crate) fn new(state: State) -> Record {
        Record { state, refused: Refused::default() }
    }

    /// Whether the entry must be kept whatever its age.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, State::Running(_))
    }

    /// Bytes of the answer that is kept.
    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Finished(Outcome::Done(answer)) => answer.body.len(),
            State::Finished(Outcome::Refused(_))
            | State::Open
            | State::Running(_)
            | State::Elsewhere
            | State::Cancelled
            | State::Forgotten => 0,
        }
    }

    pub(crate) fn entry(&self) -> Entry {
        match &self.state {
            State::Open => match self.refused.latest() {
                Some(refusal) => Entry::Refused(refusal.clone()),
                None => Entry::Refused(cancelled()),
            },
            State::Running(_) | State::Elsewhere => Entry::Running,
            State::Cancelled => Entry::Finished(Outcome::Refused(cancelled())),
            State::Finished(outcome) => Entry::Finished(outcome.clone()),
            State::Forgotten => Entry::Finished(Outcome::Refused(answer_dropped())),
        }
    }
}

/// Refusal of a cancelled id.
pub(crate) fn cancelled() -> Refusal {
    let message = "The request was cancelled before it started.";
    Refusal::not_run(Proof::owner_never_started(), Reason::Cancelled, message)
}

/// Refusal of an id whose answer was dropped.
pub(crate) fn answer_dropped() -> Refusal {
    let message = "The request has run, but its answer is no longer kept.";
    Refusal::may_have_run(Reason::Expired, message)
}

/// Refusal of an id that lies before the cutoff.
pub(crate) fn expired() -> Refusal {
    let message = "The id is older than the time for which ids are remembered; \
                   send new work under a new id.";
    Refusal::may_have_run(Reason::Expired, message)
}

/// Refusal of an id that can't be remembered.
pub(crate) fn full() -> Refusal {
    let message = "Too many requests are in progress on this agent.";
    Refusal::may_have_run(Reason::Overloaded, message)
}
