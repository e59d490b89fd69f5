//! Clocks of the host.

use std::time::{SystemTime, UNIX_EPOCH};

use mesh::Uptime;
use nix::time::{ClockId, clock_gettime};

/// Time since the host booted, including the time it was suspended.
pub(crate) fn uptime() -> Uptime {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => {
            let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
            Uptime(seconds * 1_000 + u64::try_from(time.tv_nsec()).unwrap_or(0) / 1_000_000)
        }
        // CLOCK_BOOTTIME exists on Linux since 2.6.39.
        Err(err) => panic!("CLOCK_BOOTTIME cannot be read: {err}"),
    }
}

/// Milliseconds since the Unix epoch by the host's wall clock, which may jump.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
