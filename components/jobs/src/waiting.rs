//! Order of the jobs that have tasks without a worker.

use std::{collections::BTreeSet, time::Duration};

use ident::{RequestId, Timestamp};

/// Time by which a job must be older to go before one of the next better rank.
const RANK_STEP: Duration = Duration::from_millis(500);

/// Jobs that have tasks without a worker, in the order of urgency and age.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    jobs: BTreeSet<Entry>,
}

/// Place of a job in the order; it never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    turn: Timestamp,
    job: RequestId,
}

impl Entry {
    /// Place of a job of the given rank; lower ranks go first.
    pub(crate) fn new(job: RequestId, submitted: Timestamp, rank: u8) -> Entry {
        Entry { turn: submitted + RANK_STEP * u32::from(rank), job }
    }
}

impl Waiting {
    /// Adds a job, if it is not there.
    pub(crate) fn add(&mut self, entry: Entry) {
        self.jobs.insert(entry);
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, entry: Entry) {
        self.jobs.remove(&entry);
    }

    /// Number of jobs.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// The first `count` jobs, in order.
    pub(crate) fn first(&self, count: usize) -> Vec<RequestId> {
        self.jobs.iter().take(count).map(|entry| entry.job).collect()
    }
}
