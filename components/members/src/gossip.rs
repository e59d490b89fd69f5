//! Gossip between entries.

use ident::{Incarnation, NodeId};
use rand::{Rng, seq::IteratorRandom};
use wire::{AgentReport, Datagram, Suspicion};

use crate::{GOSSIP_PEERS, Members};

/// Bytes of one datagram reserved for queued updates.
const BROADCAST_BYTES: usize = 400;
/// Bytes of one datagram for the state of agents that send their heartbeats here, in
/// addition to what queued updates leave unused.
const REPORT_BYTES: usize = 200;
/// Maximum number of entries in one list of a datagram.
pub(crate) const MAX_LISTED_ENTRIES: usize = 2;

impl Members {
    /// Builds the datagrams of one gossip round, for a few random entries.
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

    fn gossip_to(
        &mut self,
        peer: NodeId,
        incarnation: Incarnation,
        next_offset: u64,
        rng: &mut impl Rng,
    ) -> Datagram {
        let entries = self.sample_entries(rng).into_iter().filter(|node| *node != peer).collect();
        let mut agents = Vec::new();
        let mut suspicions = Vec::new();
        let mut bytes_left = BROADCAST_BYTES;
        let mut sent_count = 0;
        for node in self.broadcasts.nodes() {
            let Some(member) = self.agents.get(&node) else {
                sent_count += 1;
                continue;
            };
            let bytes = member.state_bytes();
            if bytes > bytes_left {
                break;
            }
            bytes_left -= bytes;
            sent_count += 1;
            member.append_state(&mut agents, &mut suspicions);
        }
        self.broadcasts.on_sent(sent_count);
        self.add_direct_states(&mut agents, &mut suspicions, bytes_left + REPORT_BYTES);
        Datagram::Gossip {
            from: self.node,
            incarnation,
            availability_zone: self.zone.clone(),
            next_offset,
            entries,
            agents,
            suspicions,
        }
    }

    /// Adds the state of agents that send their heartbeats here, round-robin, within
    /// `bytes_left`.
    fn add_direct_states(
        &mut self,
        agents: &mut Vec<AgentReport>,
        suspicions: &mut Vec<Suspicion>,
        mut bytes_left: usize,
    ) {
        for _ in 0..self.agents.len() {
            let next = self
                .gossip_cursor
                .and_then(|node| self.agent_after(node))
                .or_else(|| self.first_agent());
            let Some(node) = next else {
                return;
            };
            let member = &self.agents[&node];
            let is_included = agents.iter().any(|it| it.node == node)
                || suspicions.iter().any(|it| it.node == node);
            if member.has_direct_state() && !is_included {
                let bytes = member.state_bytes();
                if bytes > bytes_left {
                    return;
                }
                bytes_left -= bytes;
                member.append_state(agents, suspicions);
            }
            self.gossip_cursor = Some(node);
        }
    }

    fn first_agent(&self) -> Option<NodeId> {
        self.agents.keys().next().copied()
    }

    fn agent_after(&self, node: NodeId) -> Option<NodeId> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.agents.range((Excluded(node), Unbounded)).next().map(|(node, _)| *node)
    }

    /// Samples responsive entries.
    pub(crate) fn sample_entries(&self, rng: &mut impl Rng) -> Vec<NodeId> {
        let responsive = self.entries.values().filter(|it| it.is_responsive());
        responsive.map(|it| it.node).sample(rng, MAX_LISTED_ENTRIES)
    }
}
