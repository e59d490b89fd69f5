//! Core of the process that takes callers' requests.

use ident::{Incarnation, NodeId, Timestamp};
use node::{Effect, Event};

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

/// State of an entry.
#[derive(Debug)]
pub struct Entry {
    _options: Options,
}

impl Entry {
    /// Starts an entry that knows nothing yet.
    pub fn new(options: Options) -> Entry {
        Entry { _options: options }
    }

    /// Reacts to an event.
    pub fn handle(&mut self, _now: Timestamp, _event: Event) -> Vec<Effect> {
        Vec::new()
    }
}
