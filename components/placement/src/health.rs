//! Ejects workers that fail what they start.

use std::time::Duration;

use ident::{RequestId, Timestamp};

/// Failed jobs in a row, without a success between, that eject a worker.
const EJECT_FAILURES: u32 = 2;
/// Time for which a worker is first ejected; it doubles with each return.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest time for which a worker is ejected.
const LONGEST_EJECTION: Duration = Duration::from_secs(32);

/// Circuit breaker over the tasks of one worker.
///
/// The worker's own agent sees all that it starts and ejects it soonest; a
/// coordinator sees only its own jobs.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    last_failed: Option<RequestId>,
    ejections: u32,
    ejected_until: Timestamp,
}

impl Health {
    /// Records that a task succeeded, which ends an ejection or probation.
    pub fn on_done(&mut self) {
        *self = Health::default();
    }

    /// Records that a task of `job` failed; a job counts once.
    pub fn on_failed(&mut self, job: RequestId, now: Timestamp) {
        if self.last_failed == Some(job) {
            return;
        }
        self.last_failed = Some(job);
        self.failures += 1;
        if self.failures >= EJECT_FAILURES {
            let term = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(16));
            self.ejected_until = now + term.min(LONGEST_EJECTION);
            self.ejections += 1;
        }
    }

    /// Whether the worker takes no tasks at present.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Whether the worker may take one task at a time, to prove itself.
    pub fn on_probation(&self, now: Timestamp) -> bool {
        self.ejections > 0 && !self.is_ejected(now)
    }
}
