//! Paths, bodies and limits of the log's HTTP protocol.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Path for appending and reading records.
pub const RECORDS_PATH: &str = "/records";

/// Offset of the first record of a log.
pub const FIRST_OFFSET: u64 = 1;

/// Largest record that a log accepts, in bytes.
pub const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// Response to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the new record.
    pub offset: u64,
}

/// Response to a read.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Records {
    /// Offset of the oldest record that the log keeps.
    pub first: u64,
    /// Offset after the last record of this response, where the next read starts.
    pub next: u64,
    /// Offset that the next append will get.
    pub end: u64,
    /// Records in order of their offsets.
    pub records: Vec<RawRecord>,
}

/// A record as stored in the log, which accepts any JSON.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RawRecord {
    /// Offset in the log.
    pub offset: u64,
    /// JSON text.
    pub record: Box<RawValue>,
}
