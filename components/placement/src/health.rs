//! Circuit breaker for workers that fail or delay what they start.

use std::time::Duration;

use ident::{RequestId, Timestamp};

/// Time of the first ejection; each one in a row doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 5;
/// Time for which a straggler is avoided.
const SLOW_TERM: Duration = Duration::from_secs(5);

/// Circuit breaker over the tasks of one worker.
///
/// A job counts once, so that one job with a bad input condemns nobody. The
/// worker's own agent sees all that it starts and can refuse starts soonest; a
/// coordinator sees only its own jobs.
#[derive(Debug, Clone)]
pub struct Health {
    /// Bad jobs in a row, without a good one between, that condemn the worker.
    limit: u32,
    failed: Streak,
    slow: Streak,
    ejections: u32,
    ejected_until: Timestamp,
    slow_until: Timestamp,
}

/// Different jobs in a row.
#[derive(Debug, Clone, Default)]
struct Streak {
    jobs: u32,
    last: Option<RequestId>,
}

impl Health {
    /// Starts in good health; `limit` bad jobs in a row end it.
    pub fn new(limit: u32) -> Health {
        Health {
            limit,
            failed: Streak::default(),
            slow: Streak::default(),
            ejections: 0,
            ejected_until: Timestamp::ZERO,
            slow_until: Timestamp::ZERO,
        }
    }

    /// Records that a task succeeded, which ends an ejection or probation.
    pub fn on_done(&mut self) {
        self.failed = Streak::default();
        self.ejections = 0;
        self.ejected_until = Timestamp::ZERO;
    }

    /// Records that a task of `job` failed.
    pub fn on_failed(&mut self, job: RequestId, now: Timestamp) {
        let counted = self.failed.add(job);
        if counted && self.failed.jobs >= self.limit {
            self.ejected_until = now + FIRST_EJECTION * (1 << self.ejections.min(MAX_DOUBLINGS));
            self.ejections += 1;
        }
    }

    /// Records that a task took as long as others do.
    pub fn on_prompt(&mut self) {
        self.slow = Streak::default();
        self.slow_until = Timestamp::ZERO;
    }

    /// Records that a task of `job` took many times as long as others do.
    pub fn on_slow(&mut self, job: RequestId, now: Timestamp) {
        let counted = self.slow.add(job);
        if counted && self.slow.jobs >= self.limit {
            self.slow_until = now + SLOW_TERM;
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

    /// Whether the worker is a straggler at present.
    pub fn is_slow(&self, now: Timestamp) -> bool {
        now < self.slow_until
    }
}

impl Streak {
    /// Counts the job, unless it was the last one counted.
    fn add(&mut self, job: RequestId) -> bool {
        if self.last == Some(job) {
            return false;
        }
        self.last = Some(job);
        self.jobs += 1;
        true
    }
}
