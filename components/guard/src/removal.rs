//! Decides which runs may end before an endpoint leaves that has announced its removal.

use mesh::Uptime;

use crate::progress::Progress;

/// Time that a stop and the report of its end take, in ms: the endpoint takes up to 50 ms to stop a
/// run, and a lost call is repeated after 20 ms. With 100 ms more runs of 200 ms and less are stopped
/// that would have ended.
const STOP_MARGIN_MS: u64 = 70;
/// Time within which a run that ends by itself is not stopped, in ms: a stop would take as long.
const STOP_MS: u64 = 50;
/// Longest time left that is believed, in ms.
const MAX_REMAINING_MS: u64 = 3_600_000;
/// Change of the announced time that counts as another notice, in ms; less is delay of heartbeats.
const NOTICE_CHANGE_MS: u64 = 100;

/// A notice of removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Notice {
    /// Earliest time at which the endpoint leaves.
    leaves: Uptime,
}

impl Notice {
    /// A notice received `now` that the endpoint stays for another `remaining` ms.
    pub(crate) fn new(now: Uptime, remaining: u64) -> Notice {
        Notice { leaves: now + remaining.min(MAX_REMAINING_MS) }
    }

    /// Time left, in ms.
    pub(crate) fn remaining(self, now: Uptime) -> u64 {
        self.leaves.since(now)
    }

    /// Whether it differs from an earlier notice by more than the delay of a heartbeat.
    pub(crate) fn differs(self, earlier: Notice) -> bool {
        self.leaves.since(earlier.leaves).max(earlier.leaves.since(self.leaves)) > NOTICE_CHANGE_MS
    }

    /// Whether a run stays: it is expected to end in time, or before a stop would end it.
    pub(crate) fn stays(self, now: Uptime, run: &Progress) -> bool {
        let left = run.time_left(now);
        left <= STOP_MS || left + STOP_MARGIN_MS <= self.remaining(now)
    }
}
