//! State that every process derives from the platform's log.
//!
//! Records are applied in the order of their offsets. Whether a record is valid
//! depends only on the records before it, so every process reaches the same
//! [`Applied`]. The state holds the configuration in force and the table of
//! shard owners.

mod page;
mod record;
mod state;
mod table;

pub use crate::{
    page::{Entry, Page},
    record::{Record, RecordId},
    state::{Applied, Config, State, Void},
    table::{Assignment, Table},
};
