//! Membership of agents and entries, gossip, and the replicated state.

use std::sync::Arc;

use ident::{NodeId, Timestamp};
use members::{HEARTBEAT_INTERVAL, Liveness};
use mutation::{Mechanism, is_disabled};
use node::Effect;
use register::State;
use wire::{AgentReport, Datagram};

use crate::{Entry, stable_shards::StableShards};

impl Entry {
    /// Handles a datagram from a peer.
    pub(crate) fn on_datagram(&mut self, datagram: Datagram) {
        match datagram {
            Datagram::Heartbeat(report) => self.on_heartbeat(&report),
            Datagram::Load { node, incarnation, sequence, load } => {
                self.router.on_load(node, (incarnation, sequence), load, self.now);
            }
            Datagram::Gossip {
                from,
                incarnation,
                availability_zone,
                next_offset,
                entries,
                agents,
                suspicions,
            } => {
                let zone = &availability_zone;
                self.members.on_gossip(from, incarnation, zone, next_offset, self.now);
                self.members.on_entries(&entries, self.now);
                self.refresh_from(from, next_offset);
                for report in &agents {
                    self.members.on_report(report, self.now);
                    self.update_router(report.node);
                }
                for suspicion in &suspicions {
                    self.members.on_silence(suspicion, self.now);
                    self.update_router(suspicion.node);
                }
            }
            Datagram::HeartbeatAck { .. }
            | Datagram::PromiseRequest { .. }
            | Datagram::Promise(_) => {}
        }
    }

    fn on_heartbeat(&mut self, report: &AgentReport) {
        self.members.on_heartbeat(report, self.now);
        self.update_router(report.node);
        self.refresh_from(report.node, report.next_offset);
        let next_offset = self.state.next_offset;
        let ack = self.members.ack(report, next_offset, self.read_at, &mut self.rng);
        self.effects.push(Effect::Send { node: report.node, datagram: ack });
    }

    /// Passes the agent's report and liveness to the router.
    fn update_router(&mut self, node: NodeId) {
        let Some(member) = self.members.get(node) else { return self.router.remove(node) };
        match member.liveness {
            Liveness::Alive => {
                self.router.on_report(&member.report, self.now);
                self.router.set_silent(node, false);
            }
            Liveness::Suspected => self.router.set_silent(node, true),
            Liveness::Gone => self.router.remove(node),
        }
    }

    /// Requests the state from the peer if the peer's is newer.
    fn refresh_from(&mut self, peer: NodeId, next_offset: u64) {
        if next_offset > self.state.next_offset {
            self.effects.push(Effect::Refresh { peer: Some(peer) });
        }
    }

    /// Replaces the replicated state, unless the new one is older.
    pub(crate) fn on_state(&mut self, state: Arc<State>, read_at: Timestamp) {
        let is_older = state.next_offset < self.state.next_offset;
        if is_older && !is_disabled(Mechanism::MonotonicState) {
            return;
        }
        let changed = state.version() != self.state.version();
        self.state = state;
        self.read_at = self.read_at.max(read_at);
        if changed {
            self.apply_config();
        }
        self.stable_shards = StableShards::of(&self.state.table, &self.members, self.now);
    }

    fn apply_config(&mut self) {
        let Some(config) = self.state.config.clone() else { return };
        let inventory = &config.inventory;
        self.quotas.apply(&inventory.teams, self.now);
        self.retry_budget.set_percent(inventory.rules.retry_percent);
        self.router.set_inventory(inventory);
    }

    /// Updates the liveness of agents and gossips with other entries when due.
    pub(crate) fn tick_membership(&mut self) {
        for event in self.members.tick(self.now) {
            match event {
                members::Event::Suspected(node) | members::Event::Gone(node) => {
                    self.update_router(node);
                }
                members::Event::EntryGone(_) => {}
            }
        }
        if self.now < self.gossip_due {
            return;
        }
        self.gossip_due = self.now + HEARTBEAT_INTERVAL;
        self.stable_shards = StableShards::of(&self.state.table, &self.members, self.now);
        self.quotas.set_entries(self.members.entries().len() + 1, self.now);
        let next_offset = self.state.next_offset;
        let incarnation = self.options.incarnation;
        for (node, datagram) in self.members.gossip(incarnation, next_offset, &mut self.rng) {
            self.effects.push(Effect::Send { node, datagram });
        }
    }
}
