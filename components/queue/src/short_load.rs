//! Reservation of slots for short requests.

use std::time::Duration;

use ident::Timestamp;

/// Run time from which a request counts as long.
const LONG_RUN_TIME: Duration = Duration::from_secs(1);
/// Time over which the work of short requests is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(5);
/// Load of short requests, in slots, below which no slot is reserved for them.
const MIN_SHORT_LOAD: f64 = 0.05;

/// Exponentially decaying sum of the work of short requests.
#[derive(Debug, Default)]
pub(crate) struct ShortLoad {
    work_seconds: f64,
    updated_at: Timestamp,
}

/// Whether a request counts as long.
pub(crate) fn is_long(expected: Duration) -> bool {
    expected >= LONG_RUN_TIME
}

impl ShortLoad {
    /// Records the arrival of a request.
    pub(crate) fn on_arrival(&mut self, expected: Duration, now: Timestamp) {
        if is_long(expected) {
            return;
        }
        self.work_seconds = self.decayed_seconds(now) + expected.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Largest number of slots that long requests may hold: all but those that the
    /// load of short requests needs and one more, and at least half.
    pub(crate) fn long_slot_limit(&self, slots: u32, now: Timestamp) -> u32 {
        let load = self.decayed_seconds(now) / AVERAGING_TIME.as_secs_f64();
        if load < MIN_SHORT_LOAD {
            return slots;
        }
        let reserved = load.ceil() as u32 + 1;
        slots.saturating_sub(reserved).max(slots.div_ceil(2))
    }

    fn decayed_seconds(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.work_seconds * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
