//! Counts of the runs that an entry has ordered, and of those that agents have refused.

use std::ops::AddAssign;

use mesh::Refusal;

/// Number of runs that were ordered at agents, and of refusals by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Runs that were ordered.
    pub ordered: u64,
    /// Runs refused with [`Refusal::Room`].
    pub room: u64,
    /// Runs refused with [`Refusal::Stale`].
    pub stale: u64,
    /// Runs refused with [`Refusal::Closed`].
    pub closed: u64,
    /// Runs refused with [`Refusal::Endpoint`].
    pub endpoint: u64,
    /// Runs refused with [`Refusal::Stopped`].
    pub stopped: u64,
}

impl OrderCounts {
    /// Counts a refused run.
    pub(crate) fn record_refusal(&mut self, refusal: Refusal) {
        let count = match refusal {
            Refusal::Room => &mut self.room,
            Refusal::Stale => &mut self.stale,
            Refusal::Closed => &mut self.closed,
            Refusal::Endpoint => &mut self.endpoint,
            Refusal::Stopped => &mut self.stopped,
        };
        *count += 1;
    }

    /// Share of the ordered runs that were refused for lack of room.
    pub fn room_share(&self) -> f64 {
        self.room as f64 / self.ordered.max(1) as f64
    }
}

impl AddAssign for OrderCounts {
    fn add_assign(&mut self, other: OrderCounts) {
        self.ordered += other.ordered;
        self.room += other.room;
        self.stale += other.stale;
        self.closed += other.closed;
        self.endpoint += other.endpoint;
        self.stopped += other.stopped;
    }
}
