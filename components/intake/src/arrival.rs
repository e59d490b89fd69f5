//! Times at which bytes arrived.
//!
//! The kernel stamps the bytes of a socket by its wall clock, however long they then wait to be read.
//! That clock may be set. So its difference from the steady clock is noted at each read, and a stamp
//! is understood by all differences that were seen lately: of the times that this gives, the latest
//! holds that is not in the future. A clock that is set while bytes wait can so make them look
//! younger, by no more than it was set back, but not older unless no read saw how it was set.

use std::{collections::VecDeque, time::Duration};

use nix::time::{ClockId, clock_gettime};

/// Largest change of the difference between the clocks, from one reading to the next, that is taken for
/// a gradual correction.
const MAX_CORRECTION: Duration = Duration::from_millis(20);
/// Time for which a difference is remembered after it was last seen.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of differences that are remembered.
const MAX_DIFFERENCES: usize = 16;

/// Time since the host booted, including the time for which it was suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct SteadyTime(pub Duration);

/// Both clocks of the host, read together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// Steady clock.
    pub steady: SteadyTime,
    /// Wall clock, since 1970.
    pub wall: Duration,
}

/// Converts the kernel's stamps to times of the steady clock.
#[derive(Debug, Default)]
pub struct ArrivalClock {
    /// The latest last.
    differences: VecDeque<Difference>,
}

/// A difference between the clocks.
#[derive(Debug)]
struct Difference {
    /// Time of the wall clock at the start of the steady clock; it is never set to before that.
    origin: Duration,
    last_seen: SteadyTime,
}

impl SteadyTime {
    /// Reads the steady clock.
    pub fn now() -> SteadyTime {
        SteadyTime(read_clock(ClockId::CLOCK_BOOTTIME))
    }

    /// Time since `earlier`; zero if that is later.
    pub fn since(self, earlier: SteadyTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Clocks {
    /// Reads both clocks.
    pub fn now() -> Clocks {
        // In this order, a pause between the two makes stamps look older, which the true difference
        // then outweighs.
        let steady = SteadyTime::now();
        Clocks { steady, wall: read_clock(ClockId::CLOCK_REALTIME) }
    }
}

impl ArrivalClock {
    /// Creates a clock that has seen no difference yet.
    pub const fn new() -> ArrivalClock {
        ArrivalClock { differences: VecDeque::new() }
    }

    /// Time of the steady clock at which the kernel put a stamp on bytes that are read at `now`.
    pub fn arrival(&mut self, now: Clocks, stamp: Duration) -> SteadyTime {
        self.note(now);
        let times = self.differences.iter().filter_map(|it| stamp.checked_sub(it.origin));
        let past = times.map(SteadyTime).filter(|it| *it <= now.steady);
        past.max().unwrap_or(now.steady)
    }

    /// Notes the difference between the clocks.
    fn note(&mut self, now: Clocks) {
        let origin = now.wall.saturating_sub(now.steady.0);
        match self.differences.back_mut() {
            Some(last) if last.origin.abs_diff(origin) <= MAX_CORRECTION => {
                *last = Difference { origin, last_seen: now.steady };
            }
            _ => {
                self.differences.retain(|it| now.steady.since(it.last_seen) <= RETENTION);
                if self.differences.len() == MAX_DIFFERENCES {
                    self.differences.pop_front();
                }
                self.differences.push_back(Difference { origin, last_seen: now.steady });
            }
        }
    }
}

fn read_clock(clock: ClockId) -> Duration {
    match clock_gettime(clock) {
        Ok(time) => Duration::from(time),
        // Both clocks exist on Linux since 2.6.39.
        Err(err) => panic!("{clock} cannot be read: {err}"),
    }
}
