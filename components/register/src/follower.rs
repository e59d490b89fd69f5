//! Reads the log page by page and applies its records.
//!
//! The log truncates old records. A process that starts late, or that was away
//! for too long, misses records that it needs: it *searches* the log for a
//! snapshot, or fetches the state from a peer. A snapshot holds the state as of
//! an offset at or before its own. The follower resumes at that offset and applies
//! every record from there, so that none of the records in between is lost and its
//! state equals that of a process that read the log from its beginning.

use std::{sync::Arc, time::Duration};

use ident::Timestamp;
use mutation::{Mechanism, is_disabled};

use crate::{Applied, Entry, Page, Record, RecordId, SnapshotSchedule, State};

/// Offset of the first record of a log.
const FIRST_OFFSET: u64 = 1;

/// Applies the pages of the log and tracks the offset to read next.
#[derive(Debug, Clone)]
pub struct Follower {
    state: Arc<State>,
    read_at: Timestamp,
    mode: Mode,
    /// Oldest offset that the log retained at the last read.
    first_retained: u64,
    schedule: SnapshotSchedule,
}

/// Result of applying a record.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Offset of the record.
    pub offset: u64,
    /// Effect on the state.
    pub applied: Applied,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Applies records.
    Apply,
    /// Searches for a snapshot from this offset on.
    Search(u64),
}

impl Follower {
    /// Creates a follower with an empty state at `now`; snapshots are due every `interval`.
    pub fn new(now: Timestamp, interval: Duration) -> Follower {
        Follower {
            state: Arc::new(State::default()),
            read_at: Timestamp::ZERO,
            mode: Mode::Apply,
            first_retained: FIRST_OFFSET,
            schedule: SnapshotSchedule::new(now, interval),
        }
    }

    /// State after all records applied so far.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Start of the latest log read that showed the state to be current.
    pub fn read_at(&self) -> Timestamp {
        self.read_at
    }

    /// Offset from which to read the log next.
    pub fn next_read(&self) -> u64 {
        match self.mode {
            Mode::Apply => self.state.next_offset.max(FIRST_OFFSET),
            Mode::Search(offset) => offset,
        }
    }

    /// Whether the log has truncated records that this process needs.
    ///
    /// The state then stays unchanged until a snapshot or a peer's state is found.
    pub fn is_searching(&self) -> bool {
        self.mode != Mode::Apply
    }

    /// Handles a page that was read from [`Follower::next_read`]; returns the changes.
    ///
    /// A page that was requested before a peer's state was adopted, and that starts
    /// after records that this state still needs, is ignored.
    pub fn on_page(&mut self, page: &Page, now: Timestamp) -> Vec<Change> {
        self.first_retained = self.first_retained.max(page.first);
        self.schedule.on_page(page, now);
        if self.is_searching() || page.first > self.next_needed() {
            self.search(page);
            return Vec::new();
        }
        match page.from > self.next_needed() {
            true => Vec::new(),
            false => self.apply(page),
        }
    }

    /// Adopts a peer's state if it is later; `read_at` is the log read it is based on.
    ///
    /// Returns whether it was later.
    pub fn adopt(&mut self, state: State, read_at: Timestamp) -> bool {
        let current = state.next_offset >= self.state.next_offset;
        let newer = state.next_offset > self.state.next_offset;
        let later = (newer || is_disabled(Mechanism::MonotonicState))
            && Arc::make_mut(&mut self.state).adopt(state);
        if later || (current && self.state.next_offset > 0) {
            self.read_at = self.read_at.max(read_at);
        }
        self.end_search();
        later
    }

    /// Whether this process should append a snapshot now.
    ///
    /// `rank` is its position among the processes that append snapshots: the first
    /// one appends, the others only if it does not.
    pub fn snapshot_due(&self, now: Timestamp, rank: usize) -> bool {
        !self.is_searching() && !self.state.is_empty() && self.schedule.is_due(now, rank)
    }

    /// Creates the snapshot record and starts the pause before the next attempt.
    pub fn snapshot(&mut self, record: RecordId, now: Timestamp) -> Record {
        self.schedule.on_attempt(now);
        Record::Snapshot { record, state: Box::new(State::clone(&self.state)) }
    }

    fn apply(&mut self, page: &Page) -> Vec<Change> {
        let mut changes = Vec::new();
        // An unchanged state stays shared with its other holders; `make_mut` would copy it.
        if page.next > self.state.next_offset {
            let state = Arc::make_mut(&mut self.state);
            for entry in &page.entries {
                changes.extend(apply_entry(state, entry));
            }
            state.skip_to(page.next);
        }
        // A log that ends before the state's offset says nothing about whether the state
        // is current.
        if page.reaches_end() && page.end == self.next_needed() {
            self.read_at = self.read_at.max(page.read_at);
        }
        changes
    }

    /// Adopts any later snapshot on the page.
    fn search(&mut self, page: &Page) {
        self.mode = Mode::Search(page.next);
        for entry in &page.entries {
            let Some(Record::Snapshot { state, .. }) = &entry.record else {
                continue;
            };
            if state.next_offset > entry.offset || state.next_offset <= self.state.next_offset {
                continue;
            }
            Arc::make_mut(&mut self.state).adopt(State::clone(state));
        }
        self.end_search();
    }

    /// Returns to applying records once none is missing.
    fn end_search(&mut self) {
        if self.is_searching() && self.next_needed() >= self.first_retained {
            self.mode = Mode::Apply;
        }
    }

    /// Offset of the first record that the state needs.
    fn next_needed(&self) -> u64 {
        self.state.next_offset.max(FIRST_OFFSET)
    }
}

fn apply_entry(state: &mut State, entry: &Entry) -> Option<Change> {
    let offset = entry.offset;
    if offset < state.next_offset {
        return None;
    }
    match &entry.record {
        Some(record) => Some(Change { offset, applied: state.apply(offset, record) }),
        None => {
            state.skip_to(offset + 1);
            None
        }
    }
}
