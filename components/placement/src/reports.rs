//! Load of all workers together.

use ident::Timestamp;

use crate::worker::REPORT_TERM;

/// Sum over the latest reports of all workers.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    /// Cores that others use.
    sum: u64,
    latest: Timestamp,
}

impl Reports {
    /// Counts a report that takes the place of an older one.
    pub(crate) fn replace(&mut self, old: u32, new: u32, now: Timestamp) {
        self.remove(old);
        self.sum += u64::from(new);
        self.latest = now;
    }

    /// Forgets the report of a worker.
    pub(crate) fn remove(&mut self, old: u32) {
        self.sum -= u64::from(old);
    }

    /// Cores that others use on each of `workers`, on average.
    pub(crate) fn average(&self, workers: usize, now: Timestamp) -> u32 {
        match now.since(self.latest) < REPORT_TERM {
            true => (self.sum / workers.max(1) as u64) as u32,
            false => 0,
        }
    }
}
