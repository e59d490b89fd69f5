//! What an entry is told at its start.

use ident::{Incarnation, NodeId};

/// What an entry is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address that it listens on for its peers.
    pub node: NodeId,
    /// Its current start.
    pub incarnation: Incarnation,
    /// Availability zone that it stands in.
    pub availability_zone: String,
    /// Other entries to announce itself to.
    pub seeds: Vec<NodeId>,
    /// Seed of its randomness.
    pub seed: u64,
}
