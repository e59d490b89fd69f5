//! Identifiers shared by all processes.
//!
//! A request or job is identified by a UUIDv7 (RFC 9562) whose leading bits are the
//! time of its first submission. A node is identified by the address that it
//! listens on, and each start of a node by an incarnation. Ids are hashed to
//! shards; every shard has one owner, which decides whether an id may start.

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
