//! Queue of the jobs with tasks that wait for a worker.

use std::{collections::BTreeSet, time::Duration};

use ident::{RequestId, Timestamp};

/// Age that outweighs one rank: a job goes before one that is more urgent by a rank if it
/// was submitted earlier by more than this.
const RANK_PENALTY: Duration = Duration::from_millis(500);

/// Jobs with tasks that wait for a worker, ordered by urgency and age.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    jobs: BTreeSet<QueueKey>,
}

/// Sort key of a job in the queue; it is constant for the life of the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    effective_time: Timestamp,
    job: RequestId,
}

impl QueueKey {
    /// Creates the key of a job; lower ranks sort first.
    pub(crate) fn new(job: RequestId, submitted: Timestamp, rank: u8) -> QueueKey {
        QueueKey { effective_time: submitted + RANK_PENALTY * u32::from(rank), job }
    }
}

impl WaitQueue {
    /// Adds a job; has no effect if it is queued already.
    pub(crate) fn add(&mut self, key: QueueKey) {
        self.jobs.insert(key);
    }

    /// Removes a job, if it is queued.
    pub(crate) fn remove(&mut self, key: QueueKey) {
        self.jobs.remove(&key);
    }

    /// Number of queued jobs.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// First `count` jobs, in order.
    pub(crate) fn first(&self, count: usize) -> Vec<RequestId> {
        self.jobs.iter().take(count).map(|key| key.job).collect()
    }
}
