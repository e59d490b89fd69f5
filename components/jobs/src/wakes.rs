//! When jobs need a tick.

use std::collections::{BTreeSet, HashMap};

use ident::{RequestId, Timestamp};

/// At most one time for each job.
#[derive(Debug, Default)]
pub(crate) struct Wakes {
    order: BTreeSet<Wake>,
    times: HashMap<RequestId, Timestamp>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Wake {
    at: Timestamp,
    job: RequestId,
}

impl Wakes {
    /// Sets or changes the time of a job.
    pub(crate) fn set(&mut self, job: RequestId, at: Timestamp) {
        match self.times.insert(job, at) {
            Some(old) if old == at => return,
            Some(old) => self.order.remove(&Wake { at: old, job }),
            None => false,
        };
        self.order.insert(Wake { at, job });
    }

    /// Forgets a job.
    pub(crate) fn remove(&mut self, job: RequestId) {
        if let Some(at) = self.times.remove(&job) {
            self.order.remove(&Wake { at, job });
        }
    }

    /// Takes out the first job whose time has come.
    pub(crate) fn next_due(&mut self, now: Timestamp) -> Option<RequestId> {
        let first = self.order.first().filter(|wake| wake.at <= now)?.job;
        self.remove(first);
        Some(first)
    }
}
