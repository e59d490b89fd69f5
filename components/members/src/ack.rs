//! Answers to heartbeats.

use std::ops::Bound;

use ident::{NodeId, Timestamp};
use rand::{Rng, seq::IteratorRandom};
use wire::{AgentReport, Datagram, encode};

use crate::{Members, gossip::LISTED_ENTRIES};

/// Bytes a second that heartbeats, their answers and reports in the answers may
/// come to.
const BYTES_PER_S: f64 = 11_000.0;
/// Bytes a second that the heartbeats of one agent and the plain answers come to.
const HEARTBEAT_BYTES_PER_S: f64 = 100.0;
/// Bytes a second that are spent on reports in any case.
const MIN_PEER_BYTES_PER_S: f64 = 1000.0;
/// Largest part of one answer that is spent on reports of peers.
const MAX_PEER_BYTES: f64 = 900.0;
/// Peers that an agent is told of, those that follow it in the order of addresses.
const MAX_PEERS: usize = 32;
/// Of this many heartbeats, one is answered with the names of entries.
const LISTED_EVERY: u64 = 4;

/// What an agent was told of its peers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Told {
    last: Option<NodeId>,
    credit_bytes: f64,
    credited_at: Timestamp,
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
        let (entries, zone_entries) = match to.sequence.is_multiple_of(LISTED_EVERY) {
            true => (self.listed(rng), self.near(&to.availability_zone, rng)),
            false => (Vec::new(), Vec::new()),
        };
        Datagram::HeartbeatAck {
            from: self.node,
            next_offset,
            read_at,
            entries,
            zone_entries,
            peers,
        }
    }

    /// A few entries that stand in the zone.
    fn near(&self, zone: &str, rng: &mut impl Rng) -> Vec<NodeId> {
        let heard = self.entries.values().filter(|it| it.heard_at.is_some());
        let near = heard.filter(|it| it.zone == zone).map(|it| it.node);
        let own = (self.zone == zone).then_some(self.node);
        near.chain(own).sample(rng, LISTED_ENTRIES)
    }

    /// Reports of the agent's group: first those that are leaving, then others
    /// in turn, as far as the agent's credit goes.
    fn peers_for(&mut self, to: &AgentReport, now: Timestamp) -> Vec<AgentReport> {
        let rate = self.peer_bytes_per_s();
        let Some(member) = self.agents.get_mut(&to.node) else {
            return Vec::new();
        };
        member.told.fill(rate, now);
        let mut told = member.told.clone();
        let mut peers = Vec::new();
        for node in self.in_turn(told.last, to) {
            let report = &self.agents[&node].report;
            let bytes = encode(report).len() as f64;
            if bytes > told.credit_bytes {
                break;
            }
            told.credit_bytes -= bytes;
            if !report.leaving {
                told.last = Some(node);
            }
            peers.push(report.clone());
        }
        if let Some(member) = self.agents.get_mut(&to.node) {
            member.told = told;
        }
        peers
    }

    /// Bytes a second that each agent's reports of peers may come to.
    fn peer_bytes_per_s(&self) -> f64 {
        let agents = self.direct_agents.max(1) as f64;
        let left = BYTES_PER_S - agents * HEARTBEAT_BYTES_PER_S;
        left.max(MIN_PEER_BYTES_PER_S) / agents
    }

    fn in_turn(&self, last: Option<NodeId>, to: &AgentReport) -> Vec<NodeId> {
        let after = self.agents.range((Bound::Excluded(to.node), Bound::Unbounded));
        let before = self.agents.range(..to.node);
        let of_group =
            after.chain(before).map(|(_, member)| member).filter(|it| it.serves(&to.group));
        let others = of_group.filter(|it| it.is_available()).take(MAX_PEERS);
        let mut others: Vec<NodeId> = others.map(|it| it.report.node).collect();
        let told = others.iter().position(|node| Some(*node) == last);
        others.rotate_left(told.map_or(0, |index| index + 1));
        let leaving = self.left.iter().copied().filter(|node| {
            let member = self.agents.get(node).filter(|_| *node != to.node);
            member.is_some_and(|it| it.serves(&to.group) && it.report.leaving)
        });
        leaving.chain(others).collect()
    }
}

impl Told {
    pub(crate) fn new(now: Timestamp) -> Told {
        Told { last: None, credit_bytes: 0.0, credited_at: now }
    }

    fn fill(&mut self, bytes_per_s: f64, now: Timestamp) {
        let gained = now.since(self.credited_at).as_secs_f64() * bytes_per_s;
        self.credit_bytes = (self.credit_bytes + gained).min(MAX_PEER_BYTES);
        self.credited_at = self.credited_at.max(now);
    }
}
