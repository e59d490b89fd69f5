//! Common interface of the cores of both roles.

use agent::Agent;
use entry::Entry;
use ident::Timestamp;
use node::{Effect, Event};

/// The core of a node.
pub(crate) enum Core {
    /// Core of an entry.
    Entry(Box<Entry>),
    /// Core of an agent.
    Agent(Box<Agent>),
}

impl Core {
    /// Handles an event and returns the effects to perform.
    pub(crate) fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        match self {
            Core::Entry(entry) => entry.handle(now, event),
            Core::Agent(agent) => agent.handle(now, event),
        }
    }
}
