//! Core of the process beside an endpoint.

use ident::{Group, Incarnation, NodeId, Timestamp};
use node::{Effect, Event};

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

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    _options: Options,
}

impl Agent {
    /// Starts an agent that knows nothing yet.
    pub fn new(options: Options) -> Agent {
        Agent { _options: options }
    }

    /// Reacts to an event.
    pub fn handle(&mut self, _now: Timestamp, _event: Event) -> Vec<Effect> {
        Vec::new()
    }
}
