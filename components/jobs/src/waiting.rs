//! Queue of the jobs with tasks that wait for a worker.

use std::{collections::BTreeSet, time::Duration};

use ident::{RequestId, Timestamp};

/// Age that outweighs one rank: a job goes before one that is more urgent by a rank if it
/// was submitted earlier by more than this.
const RANK_STEP: Duration = Duration::from_millis(500);

/// Jobs with tasks that wait for a worker, ordered by urgency and age.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    jobs: BTreeSet<Entry>,
}

/// Sort key of a job in the queue; it is constant for the life of the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    turn: Timestamp,
    job: RequestId,
}

impl Entry {
    /// Creates the key of a job; lower ranks sort first.
    pub(crate) fn new(job: RequestId, submitted: Timestamp, rank: u8) -> Entry {
        Entry { turn: submitted + RANK_STEP * u32::from(rank), job }
    }
}

impl Waiting {
    /// Adds a job; has no effect if it is queued already.
    pub(crate) fn add(&mut self, entry: Entry) {
        self.jobs.insert(entry);
    }

    /// Removes a job, if it is queued.
    pub(crate) fn remove(&mut self, entry: Entry) {
        self.jobs.remove(&entry);
    }

    /// Number of queued jobs.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// First `count` jobs, in order.
    pub(crate) fn first(&self, count: usize) -> Vec<RequestId> {
        self.jobs.iter().take(count).map(|entry| entry.job).collect()
    }
}
