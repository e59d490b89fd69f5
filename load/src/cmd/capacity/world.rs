//! Eleven entries, an agent beside a worker and one beside an executor, among
//! agents that only send heartbeats and promises.

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
    spent::{Sort, Spent},
};

/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two heartbeats of an agent.
const HEARTBEAT_TICKS: u64 = 50;
/// Ticks between two requests for a promise.
const PROMISE_TICKS: u64 = 30;
/// Ticks between two reads of the log by an entry.
const READ_TICKS: u64 = 200;
/// Time for which a deputy promises.
const PROMISE_TERM: Duration = Duration::from_millis(1500);
/// Entries that an agent sends its heartbeats to.
const HEARTBEAT_ENTRIES: u64 = 3;

/// A node whose core is driven.
struct Driven {
    core: Core,
    spent: Spent,
    /// Peers that entries told it of.
    peers: BTreeSet<NodeId>,
}

/// The whole system on a clock of its own.
pub struct World {
    /// Present time.
    pub now: Timestamp,
    /// Ticks so far.
    ticks: u64,
    nodes: Vec<Driven>,
    places: BTreeMap<NodeId, usize>,
    reports: Vec<AgentReport>,
    state: Arc<State>,
    mail: Vec<Letter>,
}

/// A datagram on its way.
struct Letter {
    to: NodeId,
    datagram: Datagram,
}

impl World {
    /// System with as many workers.
    pub fn new(workers: u32, seed: u64) -> Result<World> {
        let state = fleet::shared(workers)?;
        let reports = fleet::reports(workers);
        let mut world = World {
            now: START,
            ticks: 0,
            nodes: Vec::new(),
            places: BTreeMap::new(),
            reports,
            state: Arc::clone(&state),
            mail: Vec::new(),
        };
        for index in 0..ENTRIES {
            world.add(fleet::entry(index), cores::entry(index, &state, seed));
        }
        for index in [0, workers as usize] {
            let report = &world.reports[index];
            let (node, core) = (report.node, cores::agent(report, &state, seed));
            world.add(node, core);
        }
        Ok(world)
    }

    /// Index of the agent beside a worker.
    pub fn worker(&self) -> usize {
        ENTRIES as usize
    }

    /// Index of the agent beside an executor.
    pub fn executor(&self) -> usize {
        ENTRIES as usize + 1
    }

    /// State that every node has.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Report of the agent beside an executor.
    pub fn executor_report(&self) -> &AgentReport {
        let executor = self.places.iter().find(|(_, index)| **index == self.executor());
        let node = executor.map(|(node, _)| *node);
        let mut reports = self.reports.iter();
        reports.find(|it| Some(it.node) == node).expect("the executor has a report")
    }

    /// What a node has spent.
    pub fn spent(&self, index: usize) -> Spent {
        self.nodes[index].spent
    }

    /// Peers that a node was told of since its start.
    pub fn peers(&self, index: usize) -> usize {
        self.nodes[index].peers.len()
    }

    /// Forgets what has been spent.
    pub fn clear(&mut self) {
        for node in &mut self.nodes {
            node.spent = Spent::default();
        }
    }

    /// Gives an event to a node and returns what it asks for.
    pub fn handle(&mut self, index: usize, event: Event, cost: &mut Cost) -> Vec<Effect> {
        self.nodes[index].core.handle(self.now, event, cost)
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        for _ in 0..time.as_micros() / TICK.as_micros() {
            self.step();
        }
    }

    fn add(&mut self, node: NodeId, core: Core) {
        self.places.insert(node, self.nodes.len());
        self.nodes.push(Driven { core, spent: Spent::default(), peers: BTreeSet::new() });
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        self.ticks += 1;
        for letter in std::mem::take(&mut self.mail) {
            self.deliver(letter);
        }
        for index in 0..self.nodes.len() {
            self.tick(index);
        }
        self.send_heartbeats();
        if self.ticks.is_multiple_of(READ_TICKS) {
            self.read_log();
        }
        if self.ticks.is_multiple_of(PROMISE_TICKS) {
            self.ask_promises();
        }
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let effects = node.core.handle(self.now, Event::Tick, &mut node.spent.tick);
        self.carry_out(index, effects);
    }

    fn read_log(&mut self) {
        for node in &mut self.nodes[..ENTRIES as usize] {
            let event = Event::State { state: Arc::clone(&self.state), read_at: self.now };
            node.core.handle(self.now, event, &mut node.spent.read);
        }
    }

    fn deliver(&mut self, letter: Letter) {
        let Some(index) = self.places.get(&letter.to).copied() else {
            return self.answer_promise(&letter);
        };
        let spent = &mut self.nodes[index].spent;
        spent.received.add(&letter.datagram);
        let mut cost = Cost::default();
        if let Datagram::HeartbeatAck { peers, .. } = &letter.datagram {
            self.nodes[index].peers.extend(peers.iter().map(|report| report.node));
        }
        let sort = Sort::of(&letter.datagram);
        let event = Event::Datagram(letter.datagram);
        let effects = self.nodes[index].core.handle(self.now, event, &mut cost);
        self.nodes[index].spent.sort(sort).add(cost.total);
        self.carry_out(index, effects);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { node: to, datagram } => {
                    self.nodes[index].spent.sent.add(&datagram);
                    self.mail.push(Letter { to, datagram });
                }
                Effect::Append(_) => self.nodes[index].spent.appended += 1,
                _ => {}
            }
        }
    }

    /// Heartbeats of the agents that are not driven.
    fn send_heartbeats(&mut self) {
        let turn = self.ticks / HEARTBEAT_TICKS % HEARTBEAT_ENTRIES;
        for (index, report) in self.reports.iter_mut().enumerate() {
            let is_due = (self.ticks + index as u64).is_multiple_of(HEARTBEAT_TICKS);
            if !is_due || self.places.contains_key(&report.node) {
                continue;
            }
            report.sequence += 1;
            let to = fleet::entry((index as u32 + turn as u32) % ENTRIES);
            self.mail.push(Letter { to, datagram: Datagram::Heartbeat(report.clone()) });
        }
    }

    /// Requests of the owners whose deputy is driven.
    fn ask_promises(&mut self) {
        for assignment in self.assignments() {
            let Some(deputy) = assignment.deputy else { continue };
            if !self.places.contains_key(&deputy) || self.places.contains_key(&assignment.owner) {
                continue;
            }
            let owner = assignment.owner;
            let request = Datagram::PromiseRequest {
                owner,
                incarnation: ident::Incarnation(START),
                next_offset: fleet::NEXT_OFFSET,
            };
            let is_asked = self.mail.iter().any(|it| it.to == deputy && it.datagram == request);
            if !is_asked {
                self.mail.push(Letter { to: deputy, datagram: request });
            }
        }
    }

    fn assignments(&self) -> Vec<Assignment> {
        let table = &self.state.table;
        table.groups().flat_map(|group| table.group(group)).map(|(_, it)| *it).collect()
    }

    /// Promise of a deputy that is not driven.
    fn answer_promise(&mut self, letter: &Letter) {
        let Datagram::PromiseRequest { owner, incarnation, .. } = letter.datagram else { return };
        let promise = Promise {
            deputy: letter.to,
            incarnation: ident::Incarnation(START),
            owner_incarnation: incarnation,
            next_offset: fleet::NEXT_OFFSET,
            until: self.now + PROMISE_TERM,
        };
        self.mail.push(Letter { to: owner, datagram: Datagram::Promise(promise) });
    }
}
