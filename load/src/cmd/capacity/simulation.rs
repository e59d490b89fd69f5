//! Simulation of eleven entries, an agent of a worker and an agent of an executor.
//!
//! All other agents are stubs that only send heartbeats and promises.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use eyre::Result;
use ident::{NodeId, Timestamp};
use node::{Effect, Event};
use register::{Assignment, State};
use wire::{AgentReport, Datagram, Promise};

use super::{
    cores::{self, Core, Cost},
    fleet::{self, ENTRIES, START},
    usage::{DatagramKind, Usage},
};

/// Interval between ticks of a node.
const TICK: Duration = Duration::from_millis(10);
/// Ticks between heartbeats of an agent.
const HEARTBEAT_TICKS: u64 = 50;
/// Ticks between requests for a promise.
const PROMISE_TICKS: u64 = 30;
/// Ticks between reads of the log by an entry.
const READ_TICKS: u64 = 200;
/// Validity of a deputy's promise.
const PROMISE_TERM: Duration = Duration::from_millis(1500);
/// Number of entries to which an agent sends its heartbeats in turn.
const HEARTBEAT_ENTRIES: u64 = 3;

/// A node whose core runs in the simulation.
struct SimulatedNode {
    core: Core,
    usage: Usage,
    /// Peers of which entries have informed the node.
    peers: BTreeSet<NodeId>,
}

/// A system with a simulated clock and network.
pub struct Simulation {
    /// Current time.
    pub now: Timestamp,
    /// Ticks so far.
    ticks: u64,
    nodes: Vec<SimulatedNode>,
    indices: BTreeMap<NodeId, usize>,
    reports: Vec<AgentReport>,
    state: Arc<State>,
    packets: Vec<Packet>,
}

/// A datagram in transit.
struct Packet {
    to: NodeId,
    datagram: Datagram,
}

impl Simulation {
    /// Creates a system with `workers` workers.
    pub fn new(workers: u32, seed: u64) -> Result<Simulation> {
        let state = fleet::shared_state(workers)?;
        let reports = fleet::reports(workers);
        let mut simulation = Simulation {
            now: START,
            ticks: 0,
            nodes: Vec::new(),
            indices: BTreeMap::new(),
            reports,
            state: Arc::clone(&state),
            packets: Vec::new(),
        };
        for index in 0..ENTRIES {
            simulation.add(fleet::entry(index), cores::entry(index, &state, seed));
        }
        for index in [0, workers as usize] {
            let report = &simulation.reports[index];
            let (node, core) = (report.node, cores::agent(report, &state, seed));
            simulation.add(node, core);
        }
        Ok(simulation)
    }

    /// Index of the agent of a worker.
    pub fn worker(&self) -> usize {
        ENTRIES as usize
    }

    /// Index of the agent of an executor.
    pub fn executor(&self) -> usize {
        ENTRIES as usize + 1
    }

    /// State of every node.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Report of the agent of an executor.
    pub fn executor_report(&self) -> &AgentReport {
        let executor = self.indices.iter().find(|(_, index)| **index == self.executor());
        let node = executor.map(|(node, _)| *node);
        let mut reports = self.reports.iter();
        reports.find(|it| Some(it.node) == node).expect("the executor has a report")
    }

    /// Processor time and traffic of a node.
    pub fn usage(&self, index: usize) -> Usage {
        self.nodes[index].usage
    }

    /// Number of peers of which a node was informed since its start.
    pub fn peers(&self, index: usize) -> usize {
        self.nodes[index].peers.len()
    }

    /// Resets the processor time and traffic of every node.
    pub fn reset_usage(&mut self) {
        for node in &mut self.nodes {
            node.usage = Usage::default();
        }
    }

    /// Passes an event to a node; returns its effects without applying them.
    pub fn handle(&mut self, index: usize, event: Event, cost: &mut Cost) -> Vec<Effect> {
        self.nodes[index].core.handle(self.now, event, cost)
    }

    /// Advances the simulation by `time`.
    pub fn run(&mut self, time: Duration) {
        for _ in 0..time.as_micros() / TICK.as_micros() {
            self.step();
        }
    }

    fn add(&mut self, node: NodeId, core: Core) {
        self.indices.insert(node, self.nodes.len());
        self.nodes.push(SimulatedNode { core, usage: Usage::default(), peers: BTreeSet::new() });
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        self.ticks += 1;
        for packet in std::mem::take(&mut self.packets) {
            self.deliver(packet);
        }
        for index in 0..self.nodes.len() {
            self.tick(index);
        }
        self.send_heartbeats();
        if self.ticks.is_multiple_of(READ_TICKS) {
            self.read_log();
        }
        if self.ticks.is_multiple_of(PROMISE_TICKS) {
            self.request_promises();
        }
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let effects = node.core.handle(self.now, Event::Tick, &mut node.usage.tick);
        self.apply_effects(index, effects);
    }

    fn read_log(&mut self) {
        for node in &mut self.nodes[..ENTRIES as usize] {
            let event = Event::State { state: Arc::clone(&self.state), read_at: self.now };
            node.core.handle(self.now, event, &mut node.usage.read);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let Some(index) = self.indices.get(&packet.to).copied() else {
            return self.answer_promise(&packet);
        };
        let usage = &mut self.nodes[index].usage;
        usage.received.add(&packet.datagram);
        let mut cost = Cost::default();
        if let Datagram::HeartbeatAck { peers, .. } = &packet.datagram {
            self.nodes[index].peers.extend(peers.iter().map(|report| report.node));
        }
        let kind = DatagramKind::of(&packet.datagram);
        let event = Event::Datagram(packet.datagram);
        let effects = self.nodes[index].core.handle(self.now, event, &mut cost);
        self.nodes[index].usage.datagrams(kind).add(cost.total);
        self.apply_effects(index, effects);
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { node: to, datagram } => {
                    self.nodes[index].usage.sent.add(&datagram);
                    self.packets.push(Packet { to, datagram });
                }
                Effect::Append(_) => self.nodes[index].usage.appended += 1,
                _ => {}
            }
        }
    }

    /// Sends the heartbeats of the stub agents.
    fn send_heartbeats(&mut self) {
        let turn = self.ticks / HEARTBEAT_TICKS % HEARTBEAT_ENTRIES;
        for (index, report) in self.reports.iter_mut().enumerate() {
            let is_due = (self.ticks + index as u64).is_multiple_of(HEARTBEAT_TICKS);
            if !is_due || self.indices.contains_key(&report.node) {
                continue;
            }
            report.sequence += 1;
            let to = fleet::entry((index as u32 + turn as u32) % ENTRIES);
            self.packets.push(Packet { to, datagram: Datagram::Heartbeat(report.clone()) });
        }
    }

    /// Sends the promise requests of stub owners whose deputy runs in the simulation.
    fn request_promises(&mut self) {
        for assignment in self.assignments() {
            let Some(deputy) = assignment.deputy else { continue };
            if !self.indices.contains_key(&deputy) || self.indices.contains_key(&assignment.owner) {
                continue;
            }
            let owner = assignment.owner;
            let request = Datagram::PromiseRequest {
                owner,
                incarnation: ident::Incarnation(START),
                next_offset: fleet::NEXT_OFFSET,
            };
            let is_asked = self.packets.iter().any(|it| it.to == deputy && it.datagram == request);
            if !is_asked {
                self.packets.push(Packet { to: deputy, datagram: request });
            }
        }
    }

    fn assignments(&self) -> Vec<Assignment> {
        let table = &self.state.table;
        table.groups().flat_map(|group| table.group(group)).map(|(_, it)| *it).collect()
    }

    /// Answers a promise request on behalf of a stub deputy.
    fn answer_promise(&mut self, packet: &Packet) {
        let Datagram::PromiseRequest { owner, incarnation, .. } = packet.datagram else { return };
        let promise = Promise {
            deputy: packet.to,
            incarnation: ident::Incarnation(START),
            owner_incarnation: incarnation,
            next_offset: fleet::NEXT_OFFSET,
            until: self.now + PROMISE_TERM,
        };
        self.packets.push(Packet { to: owner, datagram: Datagram::Promise(promise) });
    }
}
