//! Heartbeat acknowledgements, which also carry entries and reports of peers.

use std::ops::Bound;

use ident::{NodeId, Timestamp};
use rand::{Rng, seq::IteratorRandom};
use wire::{AgentReport, Datagram, encode};

use crate::{Members, gossip::MAX_LISTED_ENTRIES};

/// Bytes per second available for heartbeats and acknowledgements, including the reports
/// in them.
const BUDGET_BYTES_PER_S: f64 = 11_000.0;
/// Bytes per second of one agent's heartbeats and their acknowledgements without reports.
const HEARTBEAT_BYTES_PER_S: f64 = 100.0;
/// Minimum bytes per second for reports, regardless of how much the heartbeats use.
const MIN_PEER_BYTES_PER_S: f64 = 1000.0;
/// Maximum bytes of peer reports in one acknowledgement.
const MAX_PEER_BYTES: f64 = 900.0;
/// Maximum number of peers reported to an agent: those that follow it in address order,
/// wrapping around.
const MAX_PEERS: usize = 32;
/// One in this many acknowledgements lists entries.
const ACKS_PER_ENTRY_LIST: u64 = 4;

/// Budget for sending reports of peers to one agent (token bucket).
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PeerBudget {
    /// Peer whose report was sent last, not counting leaving peers.
    last_sent: Option<NodeId>,
    /// Bytes that may be sent now.
    credit_bytes: f64,
    /// Time of the last refill.
    credited_at: Timestamp,
}

impl Members {
    /// Builds the acknowledgement of an agent's heartbeat.
    pub fn ack(
        &mut self,
        to: &AgentReport,
        next_offset: u64,
        read_at: Timestamp,
        rng: &mut impl Rng,
    ) -> Datagram {
        let peers = self.peers_for(to, self.now);
        let (entries, zone_entries) = match to.sequence.is_multiple_of(ACKS_PER_ENTRY_LIST) {
            true => {
                (self.sample_entries(rng), self.sample_zone_entries(&to.availability_zone, rng))
            }
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

    /// Samples responsive entries in the zone, including this node.
    fn sample_zone_entries(&self, zone: &str, rng: &mut impl Rng) -> Vec<NodeId> {
        let responsive = self.entries.values().filter(|it| it.is_responsive());
        let in_zone = responsive.filter(|it| it.zone == zone).map(|it| it.node);
        let own = (self.zone == zone).then_some(self.node);
        in_zone.chain(own).sample(rng, MAX_LISTED_ENTRIES)
    }

    /// Reports of the agent's group within the agent's budget: leaving agents first, then
    /// the others round-robin.
    fn peers_for(&mut self, to: &AgentReport, now: Timestamp) -> Vec<AgentReport> {
        let rate = self.peer_bytes_per_s();
        let Some(member) = self.agents.get_mut(&to.node) else {
            return Vec::new();
        };
        member.peer_budget.refill(rate, now);
        let mut budget = member.peer_budget.clone();
        let mut peers = Vec::new();
        for node in self.round_robin(budget.last_sent, to) {
            let report = &self.agents[&node].report;
            let bytes = encode(report).len() as f64;
            if bytes > budget.credit_bytes {
                break;
            }
            budget.credit_bytes -= bytes;
            if !report.leaving {
                budget.last_sent = Some(node);
            }
            peers.push(report.clone());
        }
        if let Some(member) = self.agents.get_mut(&to.node) {
            member.peer_budget = budget;
        }
        peers
    }

    /// Bytes per second for reports of peers to each agent.
    fn peer_bytes_per_s(&self) -> f64 {
        let agents = self.direct_agents.max(1) as f64;
        let left = BUDGET_BYTES_PER_S - agents * HEARTBEAT_BYTES_PER_S;
        left.max(MIN_PEER_BYTES_PER_S) / agents
    }

    /// Agents of the group in the order in which their reports are sent: leaving ones, then
    /// available ones, starting after `last_sent`.
    fn round_robin(&self, last_sent: Option<NodeId>, to: &AgentReport) -> Vec<NodeId> {
        let after = self.agents.range((Bound::Excluded(to.node), Bound::Unbounded));
        let before = self.agents.range(..to.node);
        let in_group =
            after.chain(before).map(|(_, member)| member).filter(|it| it.serves(&to.group));
        let others = in_group.filter(|it| it.is_available()).take(MAX_PEERS);
        let mut others: Vec<NodeId> = others.map(|it| it.report.node).collect();
        let last = others.iter().position(|node| Some(*node) == last_sent);
        others.rotate_left(last.map_or(0, |index| index + 1));
        let leaving = self.leaving.iter().copied().filter(|node| {
            let member = self.agents.get(node).filter(|_| *node != to.node);
            member.is_some_and(|it| it.serves(&to.group) && it.report.leaving)
        });
        leaving.chain(others).collect()
    }
}

impl PeerBudget {
    pub(crate) fn new(now: Timestamp) -> PeerBudget {
        PeerBudget { last_sent: None, credit_bytes: 0.0, credited_at: now }
    }

    /// Adds the bytes that accrued since the last refill.
    fn refill(&mut self, bytes_per_s: f64, now: Timestamp) {
        let gained = now.since(self.credited_at).as_secs_f64() * bytes_per_s;
        self.credit_bytes = (self.credit_bytes + gained).min(MAX_PEER_BYTES);
        self.credited_at = self.credited_at.max(now);
    }
}
