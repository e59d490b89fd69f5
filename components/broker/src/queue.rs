//! Order of the jobs that wait for room.
//!
//! The job whose latest start is nearest goes first, and takes room as it becomes free, so
//! that large jobs are not passed by small ones for ever. Jobs that have missed their
//! objective only fill what the others leave.

use std::collections::BTreeSet;

use mesh::Uptime;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a job.
    pub(crate) struct JobKey;
}

/// Jobs that wait for room.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    in_time: BTreeSet<(Uptime, JobKey)>,
    late: BTreeSet<(Uptime, JobKey)>,
}

impl Queue {
    /// Adds a job.
    pub(crate) fn insert(&mut self, now: Uptime, latest: Uptime, key: JobKey) {
        if latest >= now {
            self.in_time.insert((latest, key));
        } else {
            self.late.insert((latest, key));
        }
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, latest: Uptime, key: JobKey) {
        self.in_time.remove(&(latest, key));
        self.late.remove(&(latest, key));
    }

    /// Moves jobs that can't keep their objective any more behind the others.
    pub(crate) fn age(&mut self, now: Uptime) {
        while let Some(first) = self.in_time.first().copied()
            && first.0 < now
        {
            self.in_time.remove(&first);
            self.late.insert(first);
        }
    }

    /// Jobs in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = JobKey> {
        self.in_time.iter().chain(&self.late).map(|(_, key)| *key)
    }

    /// Jobs that go before one with this latest start.
    pub(crate) fn before(&self, latest: Uptime) -> impl Iterator<Item = JobKey> {
        self.in_time.range(..(latest, JobKey::default())).map(|(_, key)| *key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }
}
