//! Heartbeats, load reports, the replicated state and shard ownership.

use std::{sync::Arc, time::Duration};

use ident::{Group, NodeId, Timestamp};
use members::{HEARTBEAT_ENTRIES, HEARTBEAT_INTERVAL};
use node::{Effect, ReplyTo};
use rand::RngExt;
use register::{Record, State};
use tenure::Action;
use uuid::Builder;
use wire::{AgentReport, Datagram, Fetch, Load, Reply, Snapshot};

use crate::{Agent, request, stop::Phase};

/// Minimum interval between two load reports.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(10);

/// Capacity of the token bucket for load reports.
const LOAD_REPORT_BURST: f64 = 10.0;

/// Load report traffic that one entry may receive from all agents of a group, in
/// bytes per second.
const LOAD_BYTES_PER_S: f64 = 14_000.0;

/// Size of a load report including packet headers, in bytes.
const LOAD_REPORT_BYTES: f64 = 57.0;

/// Latest load report to the entries and the token bucket that limits their rate.
#[derive(Debug, Default)]
pub struct LoadReport {
    load: Load,
    sent_at: Timestamp,
    tokens: f64,
}

impl Agent {
    /// Handles a datagram from a peer.
    pub(crate) fn on_datagram(&mut self, datagram: Datagram) {
        match datagram {
            Datagram::HeartbeatAck { from, next_offset, read_at, entries, zone_entries, peers } => {
                self.members.on_ack(from, next_offset, self.now);
                self.members.on_entries(&entries, self.now);
                self.members.on_zone_entries(&zone_entries, self.now);
                self.on_ack_offset(from, next_offset, read_at);
                for peer in peers {
                    self.on_peer_report(&peer);
                }
            }
            Datagram::PromiseRequest { owner, incarnation, next_offset } => {
                let tenure = &mut self.tenure;
                let promise = tenure.on_promise_request(owner, incarnation, next_offset, self.now);
                if let Some(promise) = promise {
                    self.send(owner, Datagram::Promise(promise));
                }
            }
            Datagram::Promise(promise) => self.tenure.on_promise(&promise, self.now),
            Datagram::Heartbeat(_) | Datagram::Load { .. } | Datagram::Gossip { .. } => {}
        }
    }

    /// Requests the state from the entry if the entry's is newer. Otherwise records that
    /// this agent's state was current at `read_at`.
    fn on_ack_offset(&mut self, entry: NodeId, next_offset: u64, read_at: Timestamp) {
        if next_offset > self.state.next_offset {
            self.effects.push(Effect::Refresh { peer: Some(entry) });
        } else if read_at > self.read_at {
            self.read_at = read_at;
            self.tenure.on_state(&self.state.table, self.state.next_offset, read_at, self.now);
        }
    }

    fn on_peer_report(&mut self, report: &AgentReport) {
        if report.node == self.options.node {
            return;
        }
        self.members.on_report(report, self.now);
        self.tenure.set_zone(report.node, &report.availability_zone);
        self.router.on_report(report, self.now);
        self.router.set_silent(report.node, false);
        self.jobs.placer().on_report(report, self.now);
    }

    /// Replaces the replicated state, unless the new one is older.
    pub(crate) fn on_state(&mut self, state: Arc<State>, read_at: Timestamp) {
        if state.next_offset < self.state.next_offset {
            return;
        }
        let changed = state.version() != self.state.version();
        self.state = state;
        self.read_at = self.read_at.max(read_at);
        if changed {
            self.apply_config();
        }
        let next_offset = self.state.next_offset;
        self.tenure.on_state(&self.state.table, next_offset, self.read_at, self.now);
    }

    fn apply_config(&mut self) {
        let Some(config) = self.state.config.clone() else { return };
        let inventory = &config.inventory;
        let rules = &inventory.rules;
        self.tenure.set_skew(rules.skew());
        self.ledger.set_limits(request::ledger_limits(rules));
        self.delegate_ledger.set_limits(request::ledger_limits(rules));
        self.router.set_inventory(inventory);
        self.jobs.set_inventory(inventory);
        if let Some(worker) = inventory.worker(&self.options.name) {
            self.tasks.set_cores(worker.cores);
        }
        if let Some(executor) = inventory.executor(&self.options.name) {
            self.queue.set_slots(executor.slots);
        }
    }

    /// Replies with a snapshot of the state if the peer's copy is older.
    pub(crate) fn on_fetch(&mut self, from: ReplyTo, fetch: Fetch) {
        let snapshot = (fetch.next_offset < self.state.next_offset).then(|| Snapshot {
            next_offset: self.state.next_offset,
            read_at: self.read_at,
            state: self.state.encode(),
        });
        self.reply(from, Reply::State(snapshot));
    }

    /// Sends due heartbeats and removes peers that are suspected or gone.
    pub(crate) fn tick_membership(&mut self) {
        if self.now >= self.heartbeat_due {
            self.heartbeat_due = self.now + HEARTBEAT_INTERVAL;
            self.send_heartbeats();
        }
        for event in self.members.tick(self.now) {
            match event {
                members::Event::Suspected(node) => {
                    self.router.set_silent(node, true);
                    self.jobs.placer().remove(node);
                }
                members::Event::Gone(node) => {
                    self.router.remove(node);
                    self.jobs.placer().remove(node);
                }
                members::Event::EntryGone(_) => {}
            }
        }
    }

    /// Sends a heartbeat to one of the heartbeat entries in turn, or to all of them
    /// during shutdown.
    pub(crate) fn send_heartbeats(&mut self) {
        self.sequence += 1;
        let report = AgentReport {
            node: self.options.node,
            incarnation: self.options.incarnation,
            sequence: self.sequence,
            name: self.options.name.clone(),
            group: self.options.group.clone(),
            availability_zone: self.options.availability_zone.clone(),
            leaving: self.phase != Phase::Running,
            load: self.load(),
            next_offset: self.state.next_offset,
        };
        self.router.on_report(&report, self.now);
        self.jobs.placer().on_report(&report, self.now);
        let targets = match self.phase {
            Phase::Running => self.members.next_heartbeat().into_iter().collect(),
            Phase::Stopping | Phase::HandingOver | Phase::Stopped => {
                self.members.heartbeat_entries()
            }
        };
        for entry in targets {
            self.send(entry, Datagram::Heartbeat(report.clone()));
        }
    }

    /// Reports a changed load to the entries, within the rate limit.
    pub(crate) fn report_load(&mut self) {
        let load = self.load();
        let is_same =
            load.busy == self.load_report.load.busy && load.queued == self.load_report.load.queued;
        let is_early = self.now < self.load_report.sent_at + MIN_LOAD_INTERVAL;
        if is_same || is_early || *self.group() == Group::Workers {
            return;
        }
        let elapsed = self.now.since(self.load_report.sent_at).as_secs_f64();
        let tokens = self.load_report.tokens + elapsed * self.load_reports_per_s();
        if tokens < 1.0 {
            return;
        }
        let tokens = tokens.min(LOAD_REPORT_BURST) - 1.0;
        self.load_report = LoadReport { load, sent_at: self.now, tokens };
        self.sequence += 1;
        for entry in self.members.heartbeat_entries() {
            let (node, incarnation) = (self.options.node, self.options.incarnation);
            let datagram = Datagram::Load { node, incarnation, sequence: self.sequence, load };
            self.send(entry, datagram);
        }
    }

    /// Report rate per agent that keeps the traffic of the whole group at one entry
    /// within [`LOAD_BYTES_PER_S`].
    fn load_reports_per_s(&self) -> f64 {
        let agents = self.members.available(self.group()).len() + 1;
        let entries = self.members.entries().len().max(HEARTBEAT_ENTRIES);
        let agents_per_entry = (agents * HEARTBEAT_ENTRIES) as f64 / entries as f64;
        LOAD_BYTES_PER_S / LOAD_REPORT_BYTES / agents_per_entry
    }

    /// Checks the ownership of shards and applies the resulting actions.
    pub(crate) fn tick_tenure(&mut self) {
        if self.phase != Phase::Running || self.state.config.is_none() {
            return;
        }
        let mut alive = self.members.available(&self.options.group);
        alive.push(self.options.node);
        alive.sort_unstable();
        let actions = self.tenure.tick(self.now, &alive);
        self.apply_tenure_actions(actions);
    }

    pub(crate) fn apply_tenure_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::RequestPromise { deputy } => {
                    let request = self.tenure.promise_request();
                    self.send(deputy, request);
                }
                Action::Assign(shards) => {
                    let record = Builder::from_random_bytes(self.rng.random());
                    self.effects.push(Effect::Append(Record::Assign {
                        record: record.into_uuid(),
                        by: self.options.node,
                        group: self.options.group.clone(),
                        shards,
                    }));
                }
                Action::Refresh => {
                    let peer = self.members.entry_ahead_of(self.state.next_offset);
                    self.effects.push(Effect::Refresh { peer });
                }
            }
        }
    }

    fn send(&mut self, node: NodeId, datagram: Datagram) {
        self.effects.push(Effect::Send { node, datagram });
    }
}
