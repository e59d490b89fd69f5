//! Evacuations of availability zones: the store, what each process knows, and the invariant.

use std::collections::{BTreeMap, HashSet};

use broker::Event as EntryEvent;
use evacuation::{Knowledge, Spread};
use guard::{Event as AgentEvent, ZoneState};
use mesh::{Datagram, Evacuations, RunKey, Uptime};
use rand::RngExt;

use super::{Event, Host, Simulation, address};
use crate::report::Violation;

/// Time after which nothing may start in an evacuated zone, in ms: the target if some process reads
/// the store, a fifth of what the settings allow.
const EVACUATION_MS: u64 = 1_000;
/// Longest time of a read of the store, in ms.
const MAX_READ_MS: u64 = 40;
/// Interval at which an entry reads the store; a stand-in for its long polls, in ms.
const ENTRY_READ_MS: u64 = 100;
/// First and longest interval between reads of an agent, in ms.
const AGENT_READ_MS: (u64, u64) = (300, 10_000);
/// Longest time from the start of a process to its first hello message at an entry, in ms.
const MAX_HELLO_MS: u64 = 150;

/// What a process knows.
#[derive(Debug, Clone, Default)]
pub(super) struct Informed {
    started: Uptime,
    knowledge: Knowledge,
    pub(super) spread: Spread,
    /// Interval until the next read of the store, in ms.
    read_interval: u64,
    /// State of its zone that the core of an agent knows.
    zone: Option<ZoneState>,
}

/// Evacuations in the store and at all processes.
#[derive(Debug, Default)]
pub(super) struct EvacuationState {
    /// The operator's log.
    store: Evacuations,
    pub(super) store_down: bool,
    /// Entries that neither read the store nor get datagrams about evacuations.
    pub(super) uninformed: HashSet<usize>,
    pub(super) entries: Vec<Informed>,
    agents: Vec<Informed>,
    /// Evacuated zones, with the time of the record.
    since: BTreeMap<usize, u64>,
    /// Agents that have known of the present evacuation of their zone, in this or an earlier
    /// process, with the time at which they first did.
    knowing: BTreeMap<usize, u64>,
}

impl EvacuationState {
    pub(super) fn new(entries: usize, agents: usize) -> EvacuationState {
        EvacuationState {
            entries: vec![Informed::default(); entries],
            agents: vec![Informed::default(); agents],
            ..EvacuationState::default()
        }
    }

    fn informed(&mut self, host: Host) -> &mut Informed {
        match host {
            Host::Entry(entry) => &mut self.entries[entry],
            Host::Agent(agent) => &mut self.agents[agent],
        }
    }
}

impl Simulation {
    /// Name of the zone of a process.
    pub(super) fn zone(&self, host: Host) -> String {
        zone_name(self.zone_number(host))
    }

    fn zone_number(&self, host: Host) -> usize {
        match host {
            Host::Entry(number) | Host::Agent(number) => number % self.options.zones,
        }
    }

    /// Whether the deployment has evacuations at all; without them no random number is drawn.
    fn has_evacuations(&self) -> bool {
        self.options.zones > 1
    }

    /// Appends a record of the operator to the log.
    pub(super) fn write_evacuation(&mut self, zone: usize, evacuated: bool) {
        let state = &mut self.evacuations;
        let offset = state.store.end;
        state.store.end += 1;
        if evacuated {
            state.store.zones.insert(zone_name(zone), offset);
            state.since.insert(zone, self.now);
        } else {
            state.store.zones.remove(&zone_name(zone));
            state.since.remove(&zone);
            let zones = self.options.zones;
            state.knowing.retain(|agent, _| agent % zones != zone);
        }
    }

    /// Lets a process that starts forget what it knew, read the store and say hello.
    pub(super) fn start_evacuations(&mut self, host: Host) {
        if !self.has_evacuations() {
            return;
        }
        let started = Uptime(self.now);
        let read_interval = AGENT_READ_MS.0;
        *self.evacuations.informed(host) =
            Informed { started, read_interval, ..Informed::default() };
        self.push_read(host, 0);
        for entry in (0..self.entries.len()).map(Host::Entry).filter(|it| *it != host) {
            let at = self.now + self.rng.random_range(0..=MAX_HELLO_MS);
            self.push(at, Event::Hello { to: entry, from: host });
        }
        self.apply_evacuations(host);
    }

    fn is_alive(&self, host: Host) -> bool {
        match host {
            Host::Entry(entry) => self.entries[entry].is_some(),
            Host::Agent(agent) => self.agents[agent].is_some(),
        }
    }

    fn push_read(&mut self, host: Host, delay: u64) {
        let at = self.now + delay + self.rng.random_range(1..=MAX_READ_MS);
        let started = self.evacuations.informed(host).started;
        self.push(at, Event::ReadStore { host, started });
    }

    /// Reads the store and schedules the next read, unless the process has ended.
    pub(super) fn read_store(&mut self, host: Host, started: Uptime) {
        if !self.is_alive(host) || self.evacuations.informed(host).started != started {
            return;
        }
        let is_uninformed =
            matches!(host, Host::Entry(entry) if self.evacuations.uninformed.contains(&entry));
        if !self.evacuations.store_down && !is_uninformed {
            let state = self.evacuations.store.clone();
            self.learn(host, state);
        }
        let informed = self.evacuations.informed(host);
        let interval = match host {
            Host::Entry(_) => ENTRY_READ_MS,
            Host::Agent(_) => informed.read_interval,
        };
        informed.read_interval = (informed.read_interval * 2).min(AGENT_READ_MS.1);
        self.push_read(host, interval);
    }

    pub(super) fn on_hello(&mut self, to: Host, from: Host) {
        self.evacuations.informed(to).spread.recheck(address(from));
    }

    pub(super) fn on_evacuations(&mut self, from: Host, to: Host, state: Evacuations) {
        let is_uninformed =
            matches!(to, Host::Entry(entry) if self.evacuations.uninformed.contains(&entry));
        if is_uninformed || !self.is_alive(to) {
            return;
        }
        self.evacuations.informed(to).spread.confirm(address(from), state.end);
        self.learn(to, state);
        let end = self.evacuations.informed(to).knowledge.end();
        self.send(to, address(from), Datagram::EvacuationsSeen { end });
    }

    fn learn(&mut self, host: Host, state: Evacuations) {
        let now = Uptime(self.now);
        if self.evacuations.informed(host).knowledge.merge(now, state).is_some() {
            self.apply_evacuations(host);
        }
    }

    /// Tells the core of a process what it knows.
    fn apply_evacuations(&mut self, host: Host) {
        let (now, zone, number) = (Uptime(self.now), self.zone(host), self.zone_number(host));
        let informed = self.evacuations.informed(host);
        let zones = informed.knowledge.zones();
        match host {
            Host::Entry(entry) => self.run_entry(entry, EntryEvent::Evacuated { zones }),
            Host::Agent(agent) => {
                let state = if zones.contains(&zone) {
                    ZoneState::Evacuated
                } else if informed.knowledge.awaits_state(now, informed.started) {
                    ZoneState::Unknown
                } else {
                    ZoneState::Served
                };
                if informed.zone.replace(state) == Some(state) {
                    return;
                }
                if state == ZoneState::Evacuated && self.evacuations.since.contains_key(&number) {
                    let now = self.now;
                    self.evacuations.knowing.entry(agent).or_insert(now);
                }
                if self.options.agents_evacuate {
                    self.run_agent(agent, AgentEvent::Zone(state));
                }
            }
        }
    }

    /// Sends the state of an entry to the members that are due it, and ends the hold of an agent.
    pub(super) fn tick_evacuations(&mut self, host: Host) {
        if !self.has_evacuations() {
            return;
        }
        if !self.is_alive(host) {
            return;
        }
        let Host::Entry(entry) = host else { return self.apply_evacuations(host) };
        let now = Uptime(self.now);
        let agents = (0..self.agents.len()).map(Host::Agent);
        let others = (0..self.entries.len()).map(Host::Entry).filter(|it| *it != host);
        let informed = &mut self.evacuations.entries[entry];
        let Some(state) = informed.knowledge.state() else { return };
        if !informed.knowledge.notifies_members(now) {
            return;
        }
        let datagram = Datagram::Evacuations(state.clone());
        for to in informed.spread.due(now, state.end, agents.chain(others).map(address)) {
            self.send(host, to, datagram.clone());
        }
    }

    /// Checks that a run does not start in an evacuated zone.
    pub(super) fn check_evacuated(&mut self, agent: usize, key: RunKey) {
        let zone = self.zone_number(Host::Agent(agent));
        let Some(since) = self.evacuations.since.get(&zone) else { return };
        let passed = self.now - since;
        // A start that was sent earlier in the same ms was sent before.
        let known = self.evacuations.knowing.get(&agent).is_some_and(|at| *at < self.now);
        if known || passed >= EVACUATION_MS {
            let description = format!(
                "{key} starts on endpoint {agent} {passed} ms after its zone was evacuated; \
                 the agent knew: {known}"
            );
            self.report.violations.push(Violation { at: self.now, description });
        }
    }
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}
