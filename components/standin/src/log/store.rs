//! Record store with retention limits.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use journal::protocol::{FIRST_OFFSET, RawRecord, Records};
use serde_json::value::RawValue;

/// Size at which a page ends, in bytes.
const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;

/// In-memory store of records.
#[derive(Debug)]
pub(super) struct Store {
    first: u64,
    records: VecDeque<Stored>,
    /// Maximum number of records.
    pub(super) max_records: Option<usize>,
    /// Maximum age of a record.
    pub(super) max_age: Option<Duration>,
}

#[derive(Debug)]
struct Stored {
    record: Box<RawValue>,
    at: Instant,
}

impl Store {
    pub(super) fn new() -> Store {
        Store { first: FIRST_OFFSET, records: VecDeque::new(), max_records: None, max_age: None }
    }

    /// Offset of the next record.
    pub(super) fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Appends a record and returns its offset.
    pub(super) fn append(&mut self, record: Box<RawValue>) -> u64 {
        let offset = self.end();
        self.records.push_back(Stored { record, at: Instant::now() });
        self.expire();
        offset
    }

    /// Drops all records before `offset`.
    pub(super) fn drop_before(&mut self, offset: u64) {
        while self.first < offset && self.records.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Drops records beyond the retention limits.
    pub(super) fn expire(&mut self) {
        if let Some(max) = self.max_records {
            let excess = self.records.len().saturating_sub(max) as u64;
            self.drop_before(self.first + excess);
        }
        if let Some(max) = self.max_age {
            let old = self.records.iter().take_while(|it| it.at.elapsed() > max).count() as u64;
            self.drop_before(self.first + old);
        }
    }

    /// At most `limit` records from offset `from`; fewer if the page reaches its size limit.
    pub(super) fn read(&self, from: u64, limit: usize) -> Records {
        let start = from.clamp(self.first, self.end());
        let skipped = (start - self.first) as usize;
        let mut bytes = 0;
        let mut records = Vec::new();
        for (stored, offset) in self.records.iter().zip(self.first..).skip(skipped).take(limit) {
            if bytes >= MAX_PAGE_BYTES {
                break;
            }
            bytes += stored.record.get().len();
            records.push(RawRecord { offset, record: stored.record.clone() });
        }
        let next = start + records.len() as u64;
        Records { first: self.first, next, end: self.end(), records }
    }
}
