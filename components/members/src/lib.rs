//! Which agents and entries are alive.
//!
//! Agents announce themselves: every heartbeat interval each sends its report
//! to one of a few entries in turn. Entries pass news on to a few random peers
//! each round: first joins, restarts, leaves and deaths, then, as far as the
//! bytes of one datagram allow, plain reports. The newest report of an agent
//! is the one of the latest incarnation with the greatest sequence number.

mod ack;
mod agent;
mod entry;
mod gossip;
mod members;
mod rumour;

pub use crate::{
    agent::{Change, Liveness, Member},
    entry::Peer,
    members::{Event, Members},
};

use std::time::Duration;

/// Time between two heartbeats of an agent, and between two gossip rounds.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Entries that an agent sends heartbeats to, in turn.
pub const HEARTBEAT_ENTRIES: usize = 3;
/// Peers that an entry gossips to in each round.
pub const GOSSIP_PEERS: usize = 2;
/// Largest encoded datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
