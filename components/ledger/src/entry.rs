//! Entries of the ledger, and the results of looking them up.

use serde::{Deserialize, Serialize};
use verdict::{Outcome, Proof, Reason, Refusal};

use crate::refused::RefusedAttempts;

/// Decision whether an attempt may start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The attempt may start; returned at most once for each attempt.
    Start,
    /// Another attempt at the id is queued or running.
    Attach,
    /// The id has its final outcome.
    Repeat(Outcome),
    /// The attempt must not start.
    Refused(Refusal),
}

/// Result of a cancellation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CancelResult {
    /// The id has not started, and can no longer start.
    NotStarted,
    /// An attempt is queued or running; the cancellation is not recorded.
    Running,
    /// The id has its final outcome, or it cannot be recorded and is refused.
    Finished(Outcome),
}

/// State of an id, as returned by [`crate::Ledger::get`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// An attempt is queued or running, on this node or on a predecessor.
    Running,
    /// The id has its final outcome.
    Finished(Outcome),
    /// The latest attempt was refused; another attempt may start.
    Refused(Refusal),
}

/// Recorded state of an id.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum State {
    /// All attempts so far were refused.
    Open,
    /// An attempt is queued or running on this node.
    Running(Attempt),
    /// An attempt is queued or running on a predecessor that handed over its ledger.
    #[serde(rename = "Elsewhere")]
    OnPredecessor,
    /// Cancelled before it started.
    Cancelled,
    /// The final outcome.
    Finished(Outcome),
    /// The id has run, but its answer was dropped to free memory.
    #[serde(rename = "Forgotten")]
    AnswerDropped,
}

/// One submission of an id by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Attempt {
    /// Random number that identifies the submission.
    pub number: u64,
    /// Time at which the entry node received the submission.
    pub submitted: ident::Timestamp,
}

/// State of an id, and its refused attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Record {
    pub state: State,
    pub refused: RefusedAttempts,
}

impl Record {
    pub(crate) fn new(state: State) -> Record {
        Record { state, refused: RefusedAttempts::default() }
    }

    /// Whether the id is running on this node, in which case it is never evicted.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, State::Running(_))
    }

    /// Size of the stored answer, in bytes.
    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Finished(Outcome::Done(answer)) => answer.body.len(),
            State::Finished(Outcome::Refused(_))
            | State::Open
            | State::Running(_)
            | State::OnPredecessor
            | State::Cancelled
            | State::AnswerDropped => 0,
        }
    }

    pub(crate) fn entry(&self) -> Entry {
        match &self.state {
            State::Open => match self.refused.latest() {
                Some(refusal) => Entry::Refused(refusal.clone()),
                None => Entry::Refused(cancelled()),
            },
            State::Running(_) | State::OnPredecessor => Entry::Running,
            State::Cancelled => Entry::Finished(Outcome::Refused(cancelled())),
            State::Finished(outcome) => Entry::Finished(outcome.clone()),
            State::AnswerDropped => Entry::Finished(Outcome::Refused(answer_dropped())),
        }
    }
}

/// Refusal of an id that was cancelled before it started.
pub(crate) fn cancelled() -> Refusal {
    let message = "The request was cancelled before it started.";
    Refusal::not_run(Proof::owner_never_started(), Reason::Cancelled, message)
}

/// Refusal of an id whose answer was dropped.
pub(crate) fn answer_dropped() -> Refusal {
    let message = "The request has run, but its answer is no longer kept.";
    Refusal::may_have_run(Reason::Expired, message)
}

/// Refusal of an id that was created before the cutoff and has no entry.
pub(crate) fn expired() -> Refusal {
    let message = "The id is older than the time for which ids are remembered; \
                   send new work under a new id.";
    Refusal::may_have_run(Reason::Expired, message)
}

/// Refusal of an id that cannot be recorded, as all entries are of running ids and
/// none of them may be evicted.
pub(crate) fn ledger_full() -> Refusal {
    let message = "Too many requests are in progress on this agent.";
    Refusal::may_have_run(Reason::Overloaded, message)
}
