//! Why the log did not answer as asked.

use std::fmt;

/// Why an append has no offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendError {
    /// The record is not in the log and will not come into it.
    NotAppended(String),
    /// The record may be in the log, or may come into it later.
    Unknown(String),
}

/// Why a read has no page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadError {
    /// What went wrong.
    pub message: String,
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AppendError::NotAppended(message) => write!(f, "the log took no record: {message}"),
            AppendError::Unknown(message) => {
                write!(f, "the log may have taken the record, its answer is lost: {message}")
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
