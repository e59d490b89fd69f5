//! Schedule of snapshots in the log.
//!
//! A log truncates records by age or by count. To survive truncation by age, a
//! snapshot is appended at a fixed interval. To survive truncation by count, one is
//! appended when the newest snapshot covers only the older half of the retained
//! records. Of several processes the one with the lowest rank appends first; the
//! others read its snapshot and restart their interval.

use std::time::Duration;

use ident::Timestamp;

use crate::{Page, Record};

/// Delay of each process after the one ranked before it.
const RANK_DELAY: Duration = Duration::from_secs(5);
/// Shortest time between two attempts of one process.
const MIN_ATTEMPT_INTERVAL: Duration = Duration::from_secs(10);
/// Part of the interval after which a new process treats the newest snapshot in the
/// log, whose age it does not know, as outdated.
const START_DIVISOR: u32 = 4;

/// Decides when a snapshot is due.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotSchedule {
    interval: Duration,
    /// Time from which the next snapshot is due by age.
    age_due: Timestamp,
    /// Time from which the next snapshot is due by count.
    count_due: Option<Timestamp>,
    /// Offset before which the newest snapshot in the log covers all records.
    covered_to: u64,
    caught_up: bool,
    attempted_at: Option<Timestamp>,
}

impl SnapshotSchedule {
    pub(crate) fn new(now: Timestamp, interval: Duration) -> SnapshotSchedule {
        SnapshotSchedule {
            interval,
            age_due: now + interval / START_DIVISOR,
            count_due: None,
            covered_to: 0,
            caught_up: false,
            attempted_at: None,
        }
    }

    /// Updates the due times from the snapshots on a page and the log's retained range.
    pub(crate) fn on_page(&mut self, page: &Page, now: Timestamp) {
        for entry in &page.entries {
            let Some(Record::Snapshot { state, .. }) = &entry.record else {
                continue;
            };
            if state.next_offset > entry.offset {
                continue;
            }
            self.covered_to = self.covered_to.max(state.next_offset);
            // The age of a snapshot that was appended before the start is unknown.
            if self.caught_up {
                self.age_due = now + self.interval;
            }
        }
        self.caught_up |= page.reaches_end();
        let retained = page.end.saturating_sub(page.first);
        let truncates = page.first > 1;
        match truncates && self.covered_to.saturating_sub(page.first) < retained / 2 {
            true => self.count_due = self.count_due.or(Some(now)),
            false => self.count_due = None,
        }
    }

    pub(crate) fn on_attempt(&mut self, now: Timestamp) {
        self.attempted_at = Some(now);
    }

    pub(crate) fn is_due(&self, now: Timestamp, rank: usize) -> bool {
        let paused = self.attempted_at.is_some_and(|at| now < at + MIN_ATTEMPT_INTERVAL);
        if !self.caught_up || paused {
            return false;
        }
        let due = self.count_due.map_or(self.age_due, |at| at.min(self.age_due));
        now >= due + RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX)
    }
}
