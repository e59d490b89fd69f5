//! Client of the platform's append-only log.
//!
//! `docs/PLATFORM.md` describes the protocol. An append can end in doubt: its
//! answer is lost, but the record may be in the log. [`Journal::append`] says so
//! and [`Journal::append_checked`] resolves it by looking for the record's id.

mod client;
mod error;
pub mod protocol;

pub use crate::{
    client::Journal,
    error::{AppendError, ReadError},
};
