//! Identities that every process agrees on.
//!
//! A request or job is named by a UUIDv7 (RFC 9562) whose leading bits are the
//! time of its first submission. A node is named by the address that it
//! listens on, and each start of a node by an incarnation. Ids hash to shards;
//! every shard has one owner, which decides whether an id may start.

mod group;
mod node;
mod request;
mod shard;
mod time;

pub use crate::{
    group::Group,
    node::{Incarnation, NodeId},
    request::{ParseIdError, RequestId},
    shard::{SHARD_COUNT, Shard},
    time::Timestamp,
};
