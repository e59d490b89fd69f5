//! Cluster membership and failure detection for agents and entries.
//!
//! In every heartbeat interval an agent sends its report to one of a few entries,
//! round-robin. In every gossip round an entry sends updates to a few random peers: first
//! joins, restarts, leaves and failures, then, within the size limit of a datagram,
//! unchanged reports. The newest report of an agent is the one of the latest incarnation
//! with the greatest sequence number.

mod ack;
mod agent;
mod broadcast;
mod entry;
mod gossip;
mod members;

pub use crate::{
    agent::{Change, Liveness, Member},
    entry::Peer,
    members::{Event, Members},
};

use std::time::Duration;

/// Interval between heartbeats of an agent, and between gossip rounds.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of entries that an agent sends heartbeats to.
pub const HEARTBEAT_ENTRIES: usize = 3;
/// Number of peers that an entry gossips with in each round.
pub const GOSSIP_PEERS: usize = 2;
/// Maximum size of an encoded datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
