//! Startup options of an agent.

use ident::{Group, Incarnation, NodeId};

/// Startup options of an agent.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address for calls and datagrams from peers.
    pub node: NodeId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Name of the endpoint in the inventory.
    pub name: String,
    /// Group of the endpoint.
    pub group: Group,
    /// Availability zone of the host.
    pub availability_zone: String,
    /// Entries to contact first.
    pub seeds: Vec<NodeId>,
    /// Seed of the random number generator.
    pub seed: u64,
}
