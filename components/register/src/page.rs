//! Pages of the log, as returned by a read.

use ident::Timestamp;

use crate::Record;

/// Result of one read of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// Offset that the read started from.
    pub from: u64,
    /// Oldest offset that the log retains.
    pub first: u64,
    /// Offset at which the next read starts.
    pub next: u64,
    /// Offset of the next append.
    pub end: u64,
    /// Records in the order of their offsets.
    pub entries: Vec<Entry>,
    /// Time at which the read was sent.
    pub read_at: Timestamp,
}

/// A record with its offset.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Offset of the record.
    pub offset: u64,
    /// The record; `None` if its type is unknown, in which case readers skip it.
    pub record: Option<Record>,
}

impl Page {
    /// Whether no record followed this page at `read_at`.
    ///
    /// Only such a page shows that a state was current at `read_at`.
    pub fn reaches_end(&self) -> bool {
        self.next >= self.end
    }
}

impl Entry {
    /// Parses the JSON text of a record; a text that is not valid gives an entry without one.
    pub fn parse(offset: u64, text: &str) -> Entry {
        Entry { offset, record: serde_json::from_str(text).ok() }
    }
}
