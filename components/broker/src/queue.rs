//! Priority queue of the jobs that wait for free capacity.
//!
//! The job with the nearest latest start goes first and takes capacity as it becomes free, so
//! that small jobs can't starve large ones. Jobs that can no longer meet their objective get
//! only the capacity that the others leave.

use std::collections::BTreeSet;

use mesh::Uptime;
use slotmap::new_key_type;

use crate::policy::QueueOrder;

new_key_type! {
    /// Key of a job.
    pub(crate) struct JobKey;
}

/// Jobs that wait for free capacity.
#[derive(Debug)]
pub(crate) struct Queue {
    order: QueueOrder,
    in_time: BTreeSet<(Uptime, JobKey)>,
    late: BTreeSet<(Uptime, JobKey)>,
}

impl Queue {
    /// Creates an empty queue.
    pub(crate) fn new(order: QueueOrder) -> Queue {
        Queue { order, in_time: BTreeSet::new(), late: BTreeSet::new() }
    }

    pub(crate) fn insert(&mut self, now: Uptime, rank: Uptime, key: JobKey) {
        if rank >= now || self.order == QueueOrder::Fifo {
            self.in_time.insert((rank, key));
        } else {
            self.late.insert((rank, key));
        }
    }

    pub(crate) fn remove(&mut self, rank: Uptime, key: JobKey) {
        self.in_time.remove(&(rank, key));
        self.late.remove(&(rank, key));
    }

    /// Moves jobs that can no longer meet their objective behind the others.
    pub(crate) fn demote_late(&mut self, now: Uptime) {
        if self.order == QueueOrder::Fifo {
            return;
        }
        while let Some(first) = self.in_time.first().copied()
            && first.0 < now
        {
            self.in_time.remove(&first);
            self.late.insert(first);
        }
    }

    /// Jobs in the order in which they are placed.
    pub(crate) fn iter(&self) -> impl Iterator<Item = JobKey> {
        self.in_time.iter().chain(&self.late).map(|(_, key)| *key)
    }

    /// Jobs ahead of one with this rank.
    pub(crate) fn ahead_of(&self, rank: Uptime) -> impl Iterator<Item = JobKey> {
        self.in_time.range(..(rank, JobKey::default())).map(|(_, key)| *key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }
}
