//! Cores of nodes and the processor time of their events.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use agent::Agent;
use entry::Entry;
use ident::{Incarnation, NodeId, Timestamp};
use node::{Effect, Event};
use register::State;
use wire::AgentReport;

use super::fleet::{self, ENTRIES, START};

/// Core of a node.
pub enum Core {
    /// Core of an entry.
    Entry(Box<Entry>),
    /// Core of an agent.
    Agent(Box<Agent>),
}

/// Processor time of a group of events.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// Number of events.
    pub count: u32,
    /// Total processor time.
    pub total: Duration,
}

impl Core {
    /// Handles an event and adds its processor time to `cost`.
    pub fn handle(&mut self, now: Timestamp, event: Event, cost: &mut Cost) -> Vec<Effect> {
        let began = Instant::now();
        let effects = match self {
            Core::Entry(entry) => entry.handle(now, event),
            Core::Agent(agent) => agent.handle(now, event),
        };
        cost.add(began.elapsed());
        effects
    }
}

impl Cost {
    /// Adds one event.
    pub fn add(&mut self, time: Duration) {
        self.count += 1;
        self.total += time;
    }

    /// Mean time of an event, in microseconds.
    pub fn micros(&self) -> f64 {
        self.total.as_secs_f64() * 1e6 / f64::from(self.count.max(1))
    }
}

/// Creates an entry that has the state and the other entries as seeds.
pub fn entry(index: u32, state: &Arc<State>, seed: u64) -> Core {
    let mut entry = Entry::new(entry::Options {
        node: fleet::entry(index),
        incarnation: Incarnation(START),
        availability_zone: fleet::zone(index),
        seeds: seeds(),
        seed: seed + u64::from(index),
    });
    entry.handle(START, Event::State { state: Arc::clone(state), read_at: read_time() });
    Core::Entry(Box::new(entry))
}

/// Creates the agent that a report describes, with the state.
pub fn agent(report: &AgentReport, state: &Arc<State>, seed: u64) -> Core {
    let mut agent = Agent::new(agent::Options {
        node: report.node,
        incarnation: report.incarnation,
        name: report.name.clone(),
        group: report.group.clone(),
        availability_zone: report.availability_zone.clone(),
        seeds: seeds(),
        seed,
    });
    agent.handle(START, Event::State { state: Arc::clone(state), read_at: read_time() });
    Core::Agent(Box::new(agent))
}

fn seeds() -> Vec<NodeId> {
    (0..ENTRIES).map(fleet::entry).collect()
}

/// Time of a log read that is late enough after the start for every node to rely on it.
fn read_time() -> Timestamp {
    START + Duration::from_secs(1)
}
