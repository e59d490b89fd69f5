//! Order of the jobs that wait for room.
//!
//! The job whose latest start is nearest goes first, and takes room as it becomes free, so
//! that large jobs are not passed by small ones for ever. Jobs that have missed their
//! objective only fill what the others leave.

use std::collections::BTreeSet;

use mesh::Uptime;
use slotmap::new_key_type;

use crate::policy::Order;

new_key_type! {
    /// Key of a job.
    pub(crate) struct JobKey;
}

/// Jobs that wait for room.
#[derive(Debug)]
pub(crate) struct Queue {
    order: Order,
    in_time: BTreeSet<(Uptime, JobKey)>,
    late: BTreeSet<(Uptime, JobKey)>,
}

impl Queue {
    /// An empty queue.
    pub(crate) fn new(order: Order) -> Queue {
        Queue { order, in_time: BTreeSet::new(), late: BTreeSet::new() }
    }

    /// Adds a job.
    pub(crate) fn insert(&mut self, now: Uptime, rank: Uptime, key: JobKey) {
        if rank >= now || self.order == Order::FirstCome {
            self.in_time.insert((rank, key));
        } else {
            self.late.insert((rank, key));
        }
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, rank: Uptime, key: JobKey) {
        self.in_time.remove(&(rank, key));
        self.late.remove(&(rank, key));
    }

    /// Moves jobs that can't keep their objective any more behind the others.
    pub(crate) fn age(&mut self, now: Uptime) {
        if self.order == Order::FirstCome {
            return;
        }
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

    /// Jobs that go before one with this rank.
    pub(crate) fn before(&self, rank: Uptime) -> impl Iterator<Item = JobKey> {
        self.in_time.range(..(rank, JobKey::default())).map(|(_, key)| *key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }
}
