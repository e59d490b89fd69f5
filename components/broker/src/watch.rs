//! Which agents an entry watches.
//!
//! An entry gets fresh reports only from the agents that it probes, and tasks are placed on no
//! others. If each entry probed each agent, the cost of both would grow with the fleet, however
//! little work there is. So an entry watches a subset of the agents, and probes the rest just
//! often enough to know their endpoints and that they live.
//!
//! - The subset is chosen by rendezvous hashing, so it hardly changes when hosts come and go,
//!   and differs from entry to entry.
//! - It doubles while little of its capacity is free, covers all agents, up to
//!   [`MAX_WATCHED`], as soon as a job has to wait, and shrinks again when there is no need.
//!   Few entries before many agents, or callers that all come to one entry, therefore don't
//!   leave capacity unused.
//! - Agents with runs of the entry are always watched, as silence decides when runs are lost.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddrV4,
};

use mesh::Uptime;

/// Smallest number of agents to watch; enough of them have free capacity on a calm day.
pub const MIN_WATCHED: usize = 32;
/// Largest number of agents to watch, apart from those with runs of the entry.
pub(crate) const MAX_WATCHED: usize = 256;
/// Free capacity of the watched endpoints below which the subset doubles, in percent.
const WIDEN_BELOW_PERCENT: u64 = 15;
/// Free capacity of the watched endpoints above which the subset may halve, in percent.
const NARROW_ABOVE_PERCENT: u64 = 25;
/// Time without a waiting job before the subset halves, and between two such steps, in ms.
const NARROW_INTERVAL_MS: u64 = 2_000;

/// Size of the subset of agents that an entry watches.
#[derive(Debug)]
pub(crate) struct Watch {
    /// Smallest number of agents to watch.
    min: usize,
    /// Number of agents to watch.
    size: usize,
    /// When the size was last changed or last had to be kept.
    kept_at: Uptime,
}

/// Free and total capacity of the watched endpoints, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WatchedCapacity {
    pub(crate) free: u64,
    pub(crate) total: u64,
}

impl Watch {
    /// Starts with the largest subset, as nothing is known about the agents.
    pub(crate) fn new(now: Uptime, min: usize) -> Watch {
        Watch { min, size: MAX_WATCHED, kept_at: now }
    }

    /// Number of agents to watch.
    pub(crate) fn size(&self) -> usize {
        self.size
    }

    /// Widens the subset to its limit, as a job waits; returns whether it was smaller.
    pub(crate) fn widen(&mut self, now: Uptime) -> bool {
        let widens = self.size < MAX_WATCHED;
        self.size = MAX_WATCHED;
        self.kept_at = now;
        widens
    }

    /// Adapts the size to the free capacity of the watched endpoints.
    pub(crate) fn adapt(&mut self, now: Uptime, capacity: WatchedCapacity, known: usize) {
        let free_percent = (capacity.free * 100).checked_div(capacity.total).unwrap_or(0);
        if free_percent < WIDEN_BELOW_PERCENT {
            self.size = (self.size * 2).min(MAX_WATCHED);
            self.kept_at = now;
        } else if free_percent < NARROW_ABOVE_PERCENT {
            self.kept_at = now;
        } else if known > self.min && now.since(self.kept_at) >= NARROW_INTERVAL_MS {
            self.size = (self.size.min(known) / 2).max(self.min);
            self.kept_at = now;
        }
    }
}

/// Weight of an agent in the choice of `entry`; those with the greatest weights are watched.
pub(crate) fn weight(entry: u64, agent: SocketAddrV4) -> u64 {
    let mut hasher = DefaultHasher::new();
    (entry, agent).hash(&mut hasher);
    hasher.finish()
}
