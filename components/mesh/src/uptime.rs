//! Time since a host booted.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Milliseconds since the host booted, including the time it was suspended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Uptime(pub u64);

impl Uptime {
    /// Milliseconds since `earlier`, or 0 if `earlier` is in the future.
    pub fn since(self, earlier: Uptime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Uptime {
    type Output = Uptime;

    fn add(self, ms: u64) -> Uptime {
        Uptime(self.0.saturating_add(ms))
    }
}

impl Sub<u64> for Uptime {
    type Output = Uptime;

    fn sub(self, ms: u64) -> Uptime {
        Uptime(self.0.saturating_sub(ms))
    }
}
