//! Client of the platform's append-only log.
//!
//! `docs/PLATFORM.md` describes the protocol. If the answer to an append is lost,
//! the record may or may not be in the log. [`LogClient::append`] returns an error
//! that says so; [`LogClient::append_checked`] finds out by searching the log for the
//! record's id.

mod client;
mod error;
pub mod protocol;

pub use crate::{
    client::LogClient,
    error::{AppendError, ReadError},
};
