//! Follows the log page by page.
//!
//! The log forgets old records. A process that starts later, or that was away
//! for too long, lacks records that it needs: it *searches* the log for a
//! snapshot, or fetches the state from a peer. A snapshot holds the state as of
//! an offset before its own. The follower goes back to that offset and applies
//! every record from there, so none of the records between is lost, and its
//! state is the same as that of a process which read the log from its beginning.

use std::{sync::Arc, time::Duration};

use ident::Timestamp;
use mutation::{Mechanism, is_disabled};

use crate::{Applied, Entry, Page, Record, RecordId, Schedule, State};

/// Offset of the first record that a log ever holds.
const FIRST_OFFSET: u64 = 1;

/// Follows the log and tells what to read next.
#[derive(Debug, Clone)]
pub struct Follower {
    state: Arc<State>,
    read_at: Timestamp,
    mode: Mode,
    /// Oldest offset that the log kept when it was last read.
    first: u64,
    schedule: Schedule,
}

/// What a record did.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Offset of the record.
    pub offset: u64,
    /// What it did.
    pub applied: Applied,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Applies records.
    Apply,
    /// Looks for a snapshot from this offset on.
    Search(u64),
}

impl Follower {
    /// Starts without a state at `now`; a snapshot is repeated every `interval`.
    pub fn new(now: Timestamp, interval: Duration) -> Follower {
        Follower {
            state: Arc::new(State::default()),
            read_at: Timestamp::ZERO,
            mode: Mode::Apply,
            first: FIRST_OFFSET,
            schedule: Schedule::new(now, interval),
        }
    }

    /// State after all records that were applied.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Start of the latest read that showed the state to be current.
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

    /// Whether the log lacks records that this process needs.
    ///
    /// The state then stays as it is until a snapshot or a peer's state is found.
    pub fn is_searching(&self) -> bool {
        self.mode != Mode::Apply
    }

    /// Takes a page that was read from [`Follower::next_read`]; returns what its records did.
    ///
    /// A page that was asked for before a peer's state was adopted, and that
    /// starts behind records which that state needs, is passed over.
    pub fn take(&mut self, page: &Page, now: Timestamp) -> Vec<Change> {
        self.first = self.first.max(page.first);
        self.schedule.see(page, now);
        if self.is_searching() || page.first > self.next_apply() {
            self.search(page);
            return Vec::new();
        }
        match page.from > self.next_apply() {
            true => Vec::new(),
            false => self.apply(page),
        }
    }

    /// Takes a peer's state and the read that it rests on; returns whether it was later.
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
    /// `rank` is its position among the processes that do so: the first in line
    /// appends, the others only when it does not.
    pub fn snapshot_due(&self, now: Timestamp, rank: usize) -> bool {
        !self.is_searching() && !self.state.is_empty() && self.schedule.due(now, rank)
    }

    /// Makes the snapshot that is due.
    pub fn snapshot(&mut self, record: RecordId, now: Timestamp) -> Record {
        self.schedule.attempt(now);
        Record::Snapshot { record, state: Box::new(State::clone(&self.state)) }
    }

    fn apply(&mut self, page: &Page) -> Vec<Change> {
        let mut changes = Vec::new();
        // An unchanged state stays shared with those who hold it.
        if page.next > self.state.next_offset {
            let state = Arc::make_mut(&mut self.state);
            for entry in &page.entries {
                changes.extend(apply_entry(state, entry));
            }
            state.skip_to(page.next);
        }
        // A log that ends before the state does shows nothing about it.
        if page.reaches_end() && page.end == self.next_apply() {
            self.read_at = self.read_at.max(page.read_at);
        }
        changes
    }

    /// Looks for a later snapshot on the page.
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

    /// Applies records again once none is missing.
    fn end_search(&mut self) {
        if self.is_searching() && self.next_apply() >= self.first {
            self.mode = Mode::Apply;
        }
    }

    /// Offset of the first record that the state needs.
    fn next_apply(&self) -> u64 {
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
