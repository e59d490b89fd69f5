//! Clocks of the host.

use std::time::{SystemTime, UNIX_EPOCH};

use intake::SteadyTime;
use mesh::Uptime;

/// Time since the host booted, including the time it was suspended.
pub(crate) fn uptime() -> Uptime {
    uptime_at(SteadyTime::now())
}

/// A time of the steady clock in ms.
pub(crate) fn uptime_at(SteadyTime(time): SteadyTime) -> Uptime {
    Uptime(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

/// Milliseconds since the Unix epoch by the host's wall clock, which may jump.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
