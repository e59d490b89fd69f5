//! Replicated state machine over the platform's log.
//!
//! Every process applies the log's records in the order of their offsets. Whether
//! a record is valid depends only on the records before it, so every process
//! reaches the same result ([`Applied`]) for it. The [`State`] holds the current
//! configuration and the table of shard owners. A [`Follower`] reads the log and
//! recovers from a snapshot when the log has truncated records that it needs.

mod config;
mod follower;
mod page;
mod record;
mod schedule;
mod state;
mod table;

use crate::schedule::SnapshotSchedule;
pub use crate::{
    config::Config,
    follower::{Change, Follower},
    page::{Entry, Page},
    record::{Record, RecordId},
    state::{Applied, DecodeError, State, VoidReason},
    table::{Assignment, Table},
};
