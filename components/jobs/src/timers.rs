//! Timers of jobs.

use std::collections::{BTreeSet, HashMap};

use ident::{RequestId, Timestamp};

/// Timers in the order of their expiry, at most one for each job.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    order: BTreeSet<Timer>,
    times: HashMap<RequestId, Timestamp>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Timestamp,
    job: RequestId,
}

impl Timers {
    /// Sets or changes the timer of a job.
    pub(crate) fn set(&mut self, job: RequestId, at: Timestamp) {
        match self.times.insert(job, at) {
            Some(old) if old == at => return,
            Some(old) => self.order.remove(&Timer { at: old, job }),
            None => false,
        };
        self.order.insert(Timer { at, job });
    }

    /// Removes the timer of a job.
    pub(crate) fn remove(&mut self, job: RequestId) {
        if let Some(at) = self.times.remove(&job) {
            self.order.remove(&Timer { at, job });
        }
    }

    /// Removes the first timer that is due and returns its job.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<RequestId> {
        let first = self.order.first().filter(|timer| timer.at <= now)?.job;
        self.remove(first);
        Some(first)
    }
}
