//! Circuit breaker for workers that fail or delay tasks.

use std::time::Duration;

use ident::{RequestId, Timestamp};

/// Duration of the first ejection; it doubles with each one in a row.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Largest number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 5;
/// Time for which a straggler is avoided.
const STRAGGLER_TIME: Duration = Duration::from_secs(5);

/// Circuit breaker over the tasks of one worker.
///
/// Consecutive tasks of one job count once, so that one job with a bad input does
/// not eject a worker. The worker's own agent sees all its tasks and is the first to
/// refuse starts; a coordinator sees only its own jobs.
#[derive(Debug, Clone)]
pub struct Health {
    /// Failed or slow jobs in a row, without a good one between, after which the
    /// worker is ejected or a straggler.
    limit: u32,
    failed: Streak,
    slow: Streak,
    ejections: u32,
    ejected_until: Timestamp,
    slow_until: Timestamp,
}

/// Number of different jobs in a row.
#[derive(Debug, Clone, Default)]
struct Streak {
    jobs: u32,
    last: Option<RequestId>,
}

impl Health {
    /// Creates a closed circuit breaker; `limit` failed jobs in a row open it, and as
    /// many slow ones mark the worker a straggler.
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
            self.ejected_until =
                now + BASE_EJECTION_TIME * (1 << self.ejections.min(MAX_DOUBLINGS));
            self.ejections += 1;
        }
    }

    /// Records that a task took as long as others do.
    pub fn on_normal_speed(&mut self) {
        self.slow = Streak::default();
        self.slow_until = Timestamp::ZERO;
    }

    /// Records that a task of `job` took many times as long as others do.
    pub fn on_slow(&mut self, job: RequestId, now: Timestamp) {
        let counted = self.slow.add(job);
        if counted && self.slow.jobs >= self.limit {
            self.slow_until = now + STRAGGLER_TIME;
        }
    }

    /// Whether the worker gets no tasks at present.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Whether the worker gets one task at a time until one succeeds.
    pub fn on_probation(&self, now: Timestamp) -> bool {
        self.ejections > 0 && !self.is_ejected(now)
    }

    /// Whether the worker is a straggler at present.
    pub fn is_slow(&self, now: Timestamp) -> bool {
        now < self.slow_until
    }
}

impl Streak {
    /// Counts the job; false if it was the last one counted.
    fn add(&mut self, job: RequestId) -> bool {
        if self.last == Some(job) {
            return false;
        }
        self.last = Some(job);
        self.jobs += 1;
        true
    }
}
