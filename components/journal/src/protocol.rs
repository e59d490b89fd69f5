//! JSON bodies and paths of the log's HTTP protocol.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Path of records.
pub const RECORDS_PATH: &str = "/records";

/// Offset of the first record that a log ever holds.
pub const FIRST_OFFSET: u64 = 1;

/// Largest record that a log accepts, in bytes.
pub const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the new record.
    pub offset: u64,
}

/// Answer to a read.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Records {
    /// Oldest offset that the log still keeps.
    pub first: u64,
    /// Offset after the last record of this answer, where the next read starts.
    pub next: u64,
    /// Offset that the next append would have been given.
    pub end: u64,
    /// Records in the order of their offsets.
    pub records: Vec<RawRecord>,
}

/// A record as it stands in the log; it may be any JSON.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RawRecord {
    /// Its offset.
    pub offset: u64,
    /// Its text.
    pub record: Box<RawValue>,
}
