//! Errors of calls to the log.

use std::fmt;

/// Error of an append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendError {
    /// The record is not in the log and will not be appended.
    NotAppended(String),
    /// The record may be in the log, or may be appended later.
    Unknown(String),
}

/// Error of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadError {
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AppendError::NotAppended(message) => {
                write!(f, "the log did not accept the record: {message}")
            }
            AppendError::Unknown(message) => {
                write!(f, "the log may have accepted the record, but its answer is lost: {message}")
            }
        }
    }
}

impl std::error::Error for AppendError {}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the log cannot be read: {}", self.message)
    }
}

impl std::error::Error for ReadError {}
