//! Refused attempts at an id.

use ident::Timestamp;
use mutation::{Mechanism, is_disabled};
use serde::{Deserialize, Serialize};
use verdict::Refusal;

use crate::entry::Attempt;

/// Refused attempts that are stored individually for each id.
const MAX_ATTEMPTS: usize = 4;

/// Refused attempts at one id, none of which may start later.
///
/// The latest [`MAX_ATTEMPTS`] are stored individually and identified by number. Earlier
/// ones are covered by `until`, the latest time at which any of them was submitted: no
/// attempt submitted up to then may start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct RefusedAttempts {
    attempts: Vec<RefusedAttempt>,
    until: Option<Timestamp>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct RefusedAttempt {
    attempt: Attempt,
    refusal: Refusal,
}

impl RefusedAttempts {
    /// Records that `attempt` must never start.
    pub(crate) fn add(&mut self, attempt: Attempt, refusal: Refusal) {
        let is_recorded = self.attempts.iter().any(|it| it.attempt.number == attempt.number);
        if is_recorded || is_disabled(Mechanism::RefusedAttempts) {
            return;
        }
        self.attempts.push(RefusedAttempt { attempt, refusal });
        if self.attempts.len() > MAX_ATTEMPTS {
            let oldest = self.attempts.remove(0);
            self.until = self.until.max(Some(oldest.attempt.submitted));
        }
    }

    /// Refusal of `attempt`, if it must not start.
    pub(crate) fn find(&self, attempt: Attempt) -> Option<&Refusal> {
        let recorded = self.attempts.iter().find(|it| it.attempt.number == attempt.number);
        match recorded {
            Some(recorded) => Some(&recorded.refusal),
            None if Some(attempt.submitted) <= self.until => self.latest(),
            None => None,
        }
    }

    /// Refusal that was recorded last.
    pub(crate) fn latest(&self) -> Option<&Refusal> {
        self.attempts.last().map(|it| &it.refusal)
    }

    /// Adds the attempts that another ledger has recorded for the same id.
    pub(crate) fn merge(&mut self, other: RefusedAttempts) {
        self.until = self.until.max(other.until);
        for refused in other.attempts {
            self.add(refused.attempt, refused.refusal);
        }
    }

    /// Whether no attempt was refused.
    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}
