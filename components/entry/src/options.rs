//! Startup options of an entry.

use ident::{Incarnation, NodeId};

/// Startup options of an entry.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address for calls and datagrams from peers.
    pub node: NodeId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Availability zone of the host.
    pub availability_zone: String,
    /// Other entries to contact first.
    pub seeds: Vec<NodeId>,
    /// Seed of the random number generator.
    pub seed: u64,
}
