//! What a node is told at its start.

use std::net::SocketAddr;

use front::Limits;
use ident::{Group, NodeId};

/// What an entry is told at its start.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Availability zone that it stands in.
    pub availability_zone: String,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Other entries to announce itself to.
    pub seeds: Vec<NodeId>,
    /// Limits on what callers may use up.
    pub limits: Limits,
    /// Seed of its randomness.
    pub seed: u64,
}

/// What an agent is told at its start.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Name of its endpoint in the inventory.
    pub name: String,
    /// Group that it serves.
    pub group: Group,
    /// Address of its endpoint.
    pub endpoint: SocketAddr,
    /// Availability zone that it stands in.
    pub availability_zone: String,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Entries to announce itself to.
    pub seeds: Vec<NodeId>,
    /// Seed of its randomness.
    pub seed: u64,
}
