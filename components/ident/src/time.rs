//! Wall-clock time as a plain number, so that decision logic can run on any clock.

use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// Microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The Unix epoch.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Later than every other timestamp.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Reads the system clock.
    pub fn now() -> Timestamp {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Timestamp(elapsed.as_micros() as u64)
    }

    /// Converts from microseconds since the Unix epoch.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Converts from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis.saturating_mul(1000))
    }

    /// Microseconds since the Unix epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Milliseconds since the Unix epoch, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, rhs: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, rhs: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
