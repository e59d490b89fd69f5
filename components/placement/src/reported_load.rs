//! Average reported load of all workers.

use ident::Timestamp;

use crate::worker::REPORT_TTL;

/// Sum over the latest reports of all workers.
#[derive(Debug, Default)]
pub(crate) struct ReportedLoad {
    /// Cores in use by others.
    sum: u64,
    latest: Timestamp,
}

impl ReportedLoad {
    /// Replaces the value of a worker's previous report.
    pub(crate) fn replace(&mut self, old: u32, new: u32, now: Timestamp) {
        self.remove(old);
        self.sum += u64::from(new);
        self.latest = now;
    }

    /// Removes the value of a worker's report.
    pub(crate) fn remove(&mut self, old: u32) {
        self.sum -= u64::from(old);
    }

    /// Mean number of cores in use by others on each of `workers` workers; zero if
    /// no report is recent.
    pub(crate) fn average(&self, workers: usize, now: Timestamp) -> u32 {
        match now.since(self.latest) < REPORT_TTL {
            true => (self.sum / workers.max(1) as u64) as u32,
            false => 0,
        }
    }
}
