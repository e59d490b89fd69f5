//! Datagrams that entries send.

use ident::{Incarnation, NodeId, Timestamp};
use rand::{Rng, seq::IteratorRandom};
use wire::{AgentReport, Datagram, encode};

use crate::{GOSSIP_PEERS, Liveness, Members};

/// Largest encoded gossip.
const GOSSIP_BYTES: usize = 900;
/// Entries listed in one datagram.
const LISTED_ENTRIES: usize = 2;
/// Peers listed in one answer to a heartbeat.
const LISTED_PEERS: usize = 3;

impl Members {
    /// Gossip of one round, to a few random entries.
    pub fn gossip(
        &mut self,
        incarnation: Incarnation,
        next_offset: u64,
        rng: &mut impl Rng,
    ) -> Vec<(NodeId, Datagram)> {
        let peers = self.entries.keys().copied().sample(rng, GOSSIP_PEERS);
        let mut sent = Vec::new();
        for peer in peers {
            sent.push((peer, self.gossip_to(peer, incarnation, next_offset, rng)));
        }
        sent
    }

    /// Answer to an agent's heartbeat.
    pub fn ack(
        &self,
        to: &AgentReport,
        next_offset: u64,
        read_at: Timestamp,
        rng: &mut impl Rng,
    ) -> Datagram {
        let near = self.entries.values().filter(|it| it.zone == to.availability_zone);
        let near = near.filter(|it| it.heard_at.is_some()).map(|it| it.node);
        let own = (self.zone == to.availability_zone).then_some(self.node);
        let of_group = self.agents.values().filter(|it| it.serves(&to.group));
        let peers = of_group.filter(|it| it.is_available() && it.report.node != to.node);
        Datagram::HeartbeatAck {
            from: self.node,
            next_offset,
            read_at,
            entries: self.listed(rng),
            near: near.chain(own).sample(rng, LISTED_ENTRIES),
            peers: peers.map(|it| it.report.clone()).sample(rng, LISTED_PEERS),
        }
    }

    fn gossip_to(
        &mut self,
        peer: NodeId,
        incarnation: Incarnation,
        next_offset: u64,
        rng: &mut impl Rng,
    ) -> Datagram {
        let entries = self.listed(rng).into_iter().filter(|node| *node != peer).collect();
        let mut agents = Vec::new();
        let mut silent = Vec::new();
        let mut left = GOSSIP_BYTES - 100;
        let mut told = 0;
        for node in self.rumours.nodes() {
            let Some(member) = self.agents.get(&node) else {
                told += 1;
                continue;
            };
            let bytes = match member.liveness {
                Liveness::Alive => encode(&member.report).len(),
                Liveness::Suspected | Liveness::Gone => encode(&member.silence()).len(),
            };
            if bytes > left {
                break;
            }
            left -= bytes;
            told += 1;
            match member.liveness {
                Liveness::Alive => agents.push(member.report.clone()),
                Liveness::Suspected | Liveness::Gone => silent.push(member.silence()),
            }
        }
        self.rumours.on_sent(told);
        self.fill(&mut agents, left);
        Datagram::Gossip {
            from: self.node,
            incarnation,
            availability_zone: self.zone.clone(),
            next_offset,
            entries,
            agents,
            silent,
        }
    }

    /// Adds plain reports in turn until `left` bytes are used up.
    fn fill(&mut self, agents: &mut Vec<AgentReport>, mut left: usize) {
        for _ in 0..self.agents.len() {
            let next = self.cursor.and_then(|node| self.after(node)).or_else(|| self.first());
            let Some(node) = next else {
                return;
            };
            let member = &self.agents[&node];
            let bytes = encode(&member.report).len();
            if bytes > left {
                return;
            }
            self.cursor = Some(node);
            let is_listed = agents.iter().any(|it| it.node == node);
            if member.liveness == Liveness::Alive && !is_listed {
                left -= bytes;
                agents.push(member.report.clone());
            }
        }
    }

    fn first(&self) -> Option<NodeId> {
        self.agents.keys().next().copied()
    }

    fn after(&self, node: NodeId) -> Option<NodeId> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.agents.range((Excluded(node), Unbounded)).next().map(|(node, _)| *node)
    }

    /// A few entries that were heard from.
    fn listed(&self, rng: &mut impl Rng) -> Vec<NodeId> {
        let heard = self.entries.values().filter(|it| it.heard_at.is_some());
        heard.map(|it| it.node).sample(rng, LISTED_ENTRIES)
    }
}
