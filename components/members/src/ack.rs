//! Answers to heartbeats.

use std::{ops::Bound, time::Duration};

use ident::{NodeId, Timestamp};
use rand::{Rng, seq::IteratorRandom};
use wire::{AgentReport, Datagram, encode};

use crate::{Members, gossip::LISTED_ENTRIES};

/// Bytes a second that all answers together may spend on reports of peers.
const PEER_BYTES_PER_S: f64 = 1500.0;
/// Largest part of one answer that is spent on reports of peers.
const MAX_PEER_BYTES: usize = 900;
/// Of this many heartbeats, one is answered with the names of entries.
const LISTED_EVERY: u64 = 4;
/// Most reports of peers in one answer.
const MAX_PEERS: usize = 16;
/// Time for which an agent that is leaving is listed before others.
const LEAVING_TIME: Duration = Duration::from_secs(10);

/// Bytes that may be spent on reports of peers.
#[derive(Debug, Default)]
pub(crate) struct Allowance {
    bytes: f64,
    filled_at: Timestamp,
}

impl Members {
    /// Answer to an agent's heartbeat.
    pub fn ack(
        &mut self,
        to: &AgentReport,
        next_offset: u64,
        read_at: Timestamp,
        rng: &mut impl Rng,
    ) -> Datagram {
        let peers = self.peers_for(to, self.now);
        let (entries, near) = match to.sequence.is_multiple_of(LISTED_EVERY) {
            true => (self.listed(rng), self.near(&to.availability_zone, rng)),
            false => (Vec::new(), Vec::new()),
        };
        Datagram::HeartbeatAck { from: self.node, next_offset, read_at, entries, near, peers }
    }

    /// A few entries that stand in the zone.
    fn near(&self, zone: &str, rng: &mut impl Rng) -> Vec<NodeId> {
        let heard = self.entries.values().filter(|it| it.heard_at.is_some());
        let near = heard.filter(|it| it.zone == zone).map(|it| it.node);
        let own = (self.zone == zone).then_some(self.node);
        near.chain(own).sample(rng, LISTED_ENTRIES)
    }

    /// Reports of the agent's group: first those that are leaving, then others
    /// in turn, as far as the allowance goes.
    fn peers_for(&mut self, to: &AgentReport, now: Timestamp) -> Vec<AgentReport> {
        let limit = self.allowance.take_up_to(MAX_PEER_BYTES, now);
        let mut left = limit;
        let mut peers: Vec<AgentReport> = Vec::new();
        let mut told = self.agents.get(&to.node).and_then(|it| it.told);
        for node in self.in_turn(told, to, now) {
            let report = &self.agents[&node].report;
            let bytes = encode(report).len();
            if bytes > left {
                break;
            }
            left -= bytes;
            if !report.leaving {
                told = Some(node);
            }
            peers.push(report.clone());
        }
        self.allowance.put_back(left);
        if let Some(member) = self.agents.get_mut(&to.node) {
            member.told = told;
        }
        peers
    }

    fn in_turn(&self, told: Option<NodeId>, to: &AgentReport, now: Timestamp) -> Vec<NodeId> {
        let start = told.map_or(Bound::Unbounded, Bound::Excluded);
        let after = self.agents.range((start, Bound::Unbounded));
        let before = told.map(|node| self.agents.range(..=node)).into_iter().flatten();
        let of_group = after
            .chain(before)
            .map(|(_, member)| member)
            .filter(|it| it.serves(&to.group) && it.report.node != to.node);
        let leaving = of_group.clone().filter(|it| it.has_left_since(now - LEAVING_TIME));
        let others = of_group.filter(|it| it.is_available());
        leaving.chain(others).take(MAX_PEERS).map(|it| it.report.node).collect()
    }
}

impl Allowance {
    /// Takes what there is, `limit` at most.
    fn take_up_to(&mut self, limit: usize, now: Timestamp) -> usize {
        let gained = now.since(self.filled_at).as_secs_f64() * PEER_BYTES_PER_S;
        self.bytes = (self.bytes + gained).min(PEER_BYTES_PER_S);
        self.filled_at = self.filled_at.max(now);
        let taken = (self.bytes as usize).min(limit);
        self.bytes -= taken as f64;
        taken
    }

    /// Puts back what was not used.
    fn put_back(&mut self, bytes: usize) {
        self.bytes += bytes as f64;
    }
}
