//! Number of log lines that may be written in each second.
//!
//! In the second after a restart of many hosts, lines on hosts that are heard again use up any
//! rate, and those that tell why jobs were refused come last. So the first lines of each kind in a
//! second are written regardless of the others. What is dropped is counted by kind.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use log::Level;

/// Lines of a kind that may be written in a second, however many there are of other kinds.
const RESERVE_OF_KIND: u32 = 20;
/// Divisor of the rate for the share that is reserved for warnings and errors.
const WARNING_DIVISOR: u32 = 5;
/// Period to which the rate applies.
const PERIOD: Duration = Duration::from_secs(1);

/// Kind of a log line: its message without attributes.
pub type Kind = &'static str;

/// Budget of lines, and the lines dropped beyond it.
#[derive(Debug)]
pub struct Budget {
    rate: u32,
    /// Start of the current period.
    started: Instant,
    /// Lines written in this period.
    used: u32,
    /// Lines written in this period, by kind.
    used_by_kind: HashMap<Kind, u32>,
    /// Lines dropped and not reported yet.
    dropped: BTreeMap<Kind, u64>,
}

impl Budget {
    /// Starts a budget of `rate` lines a second, apart from those reserved for each kind.
    pub fn new(now: Instant, rate: u32) -> Budget {
        Budget {
            rate,
            started: now,
            used: 0,
            used_by_kind: HashMap::new(),
            dropped: BTreeMap::new(),
        }
    }

    /// Counts a line and returns whether it may be written.
    pub fn admit(&mut self, level: Level, kind: Kind) -> bool {
        let limit =
            if level <= Level::Warn { self.rate } else { self.rate - self.rate / WARNING_DIVISOR };
        let of_kind = self.used_by_kind.entry(kind).or_default();
        if self.used >= limit && *of_kind >= RESERVE_OF_KIND {
            self.count_dropped(kind, 1);
            return false;
        }
        *of_kind += 1;
        self.used = self.used.saturating_add(1);
        true
    }

    /// Starts a new period if the current one is over; returns the lines dropped before it by kind,
    /// so that they are reported at most once a period.
    pub fn renew(&mut self, now: Instant) -> BTreeMap<Kind, u64> {
        if now.duration_since(self.started) < PERIOD {
            return BTreeMap::new();
        }
        self.started = now;
        self.used = 0;
        self.used_by_kind.clear();
        std::mem::take(&mut self.dropped)
    }

    /// Counts lines that could not be written.
    pub fn count_dropped(&mut self, kind: Kind, count: u64) {
        *self.dropped.entry(kind).or_default() += count;
    }
}
