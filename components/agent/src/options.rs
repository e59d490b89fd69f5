//! What an agent is told at its start.

use ident::{Group, Incarnation, NodeId};

/// What an agent is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address that it listens on for its peers.
    pub node: NodeId,
    /// Its current start.
    pub incarnation: Incarnation,
    /// Name of its endpoint in the inventory.
    pub name: String,
    /// Group that it serves.
    pub group: Group,
    /// Availability zone that it stands in.
    pub availability_zone: String,
    /// Entries to announce itself to.
    pub seeds: Vec<NodeId>,
    /// Seed of its randomness.
    pub seed: u64,
}
