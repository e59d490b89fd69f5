//! The membership view of one node.

use std::{collections::BTreeMap, time::Duration};

use ident::{Group, Incarnation, NodeId, Timestamp};
use wire::{AgentReport, Suspicion};

use crate::{
    Change, HEARTBEAT_ENTRIES, Liveness, Member, Peer,
    agent::Source,
    broadcast::{BroadcastQueue, NORMAL_SENDS, URGENT_SENDS},
};

/// Expected interval between relayed reports of one agent, per agent in the view.
const RELAY_INTERVAL_PER_AGENT: Duration = Duration::from_millis(200);
/// Time for which an agent is kept after it is declared gone.
const TOMBSTONE_TIME: Duration = Duration::from_secs(600);
/// Time without a report after which a leaving agent's reports are no longer sent first.
const LEAVING_PRIORITY_TIME: Duration = Duration::from_secs(10);
/// Time without a message after which an entry times out. It is removed after the same time
/// without a message or listing.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Addition to [`ENTRY_TIMEOUT`] per entry in the view.
const ENTRY_TIMEOUT_PER_ENTRY: Duration = Duration::from_secs(2);
/// Number of unanswered heartbeats after which an agent prefers other entries.
const MAX_UNANSWERED: u32 = 3;

/// The agents and entries in one node's view.
#[derive(Debug)]
pub struct Members {
    pub(crate) node: NodeId,
    pub(crate) zone: String,
    pub(crate) agents: BTreeMap<NodeId, Member>,
    pub(crate) entries: BTreeMap<NodeId, Peer>,
    pub(crate) broadcasts: BroadcastQueue,
    /// Agent that was last considered for a round-robin report in gossip.
    pub(crate) gossip_cursor: Option<NodeId>,
    /// Number of agents that send their heartbeats here, as of the last tick.
    pub(crate) direct_agents: usize,
    /// Agents that announced that they are leaving.
    pub(crate) leaving: Vec<NodeId>,
    /// Latest time passed to an update or a tick.
    pub(crate) now: Timestamp,
    heartbeat_turn: usize,
}

/// A change of liveness caused by missing messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The agent is suspected to be down.
    Suspected(NodeId),
    /// The agent is declared gone.
    Gone(NodeId),
    /// The entry timed out; it is removed unless it is a seed or other entries still list it.
    EntryGone(NodeId),
}

impl Members {
    /// Creates the view of `node` in availability zone `zone`, with `seeds` as first entries.
    pub fn new(node: NodeId, zone: impl Into<String>, seeds: &[NodeId]) -> Members {
        let mut members = Members {
            node,
            zone: zone.into(),
            agents: BTreeMap::new(),
            entries: BTreeMap::new(),
            broadcasts: BroadcastQueue::default(),
            gossip_cursor: None,
            direct_agents: 0,
            leaving: Vec::new(),
            now: Timestamp::ZERO,
            heartbeat_turn: 0,
        };
        members.on_entries(seeds, Timestamp::ZERO);
        for entry in members.entries.values_mut() {
            entry.seed = true;
        }
        members
    }

    /// Handles a heartbeat from the agent itself.
    pub fn on_heartbeat(&mut self, report: &AgentReport, now: Timestamp) -> Change {
        self.update(report, Source::Direct, now)
    }

    /// Handles a report relayed by another node.
    pub fn on_report(&mut self, report: &AgentReport, now: Timestamp) -> Change {
        self.update(report, Source::Relayed, now)
    }

    /// Handles another entry's suspicion of an agent.
    ///
    /// It has no effect if this node has a newer report, which is then queued for gossip.
    pub fn on_silence(&mut self, suspicion: &Suspicion, now: Timestamp) -> Option<Event> {
        let member = self.agents.get_mut(&suspicion.node)?;
        if !member.is_covered_by(suspicion) {
            self.broadcasts.enqueue(suspicion.node, URGENT_SENDS);
            return None;
        }
        if member.liveness != Liveness::Alive {
            return None;
        }
        member.apply_suspicion(suspicion, now);
        self.broadcasts.enqueue(suspicion.node, URGENT_SENDS);
        Some(Event::Suspected(suspicion.node))
    }

    /// Handles the sender's part of gossip from an entry.
    pub fn on_gossip(
        &mut self,
        node: NodeId,
        incarnation: Incarnation,
        zone: &str,
        next_offset: u64,
        now: Timestamp,
    ) {
        if let Some(entry) = self.entry_mut(node, now) {
            entry.incarnation = entry.incarnation.max(incarnation);
            entry.zone = zone.to_owned();
            entry.on_message(next_offset, now);
        }
    }

    /// Handles an entry's acknowledgement of a heartbeat.
    pub fn on_ack(&mut self, node: NodeId, next_offset: u64, now: Timestamp) {
        if let Some(entry) = self.entry_mut(node, now) {
            entry.on_message(next_offset, now);
        }
    }

    /// Handles the addresses of entries that another entry lists as responsive.
    pub fn on_entries(&mut self, nodes: &[NodeId], now: Timestamp) {
        for node in nodes {
            if let Some(entry) = self.entry_mut(*node, now) {
                entry.on_listed(now);
            }
        }
    }

    /// Handles the addresses of entries in this node's availability zone.
    pub fn on_zone_entries(&mut self, nodes: &[NodeId], now: Timestamp) {
        self.on_entries(nodes, now);
        for node in nodes {
            if let Some(entry) = self.entries.get_mut(node) {
                entry.zone.clone_from(&self.zone);
            }
        }
    }

    /// Updates liveness from the time since each member's last report or message.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Event> {
        self.now = self.now.max(now);
        let mut events = Vec::new();
        let relay_interval = RELAY_INTERVAL_PER_AGENT * self.agents.len() as u32;
        for (node, member) in &mut self.agents {
            match member.liveness {
                Liveness::Alive if member.is_overdue(relay_interval, now) => {
                    member.suspect(relay_interval, now);
                    if member.is_direct() {
                        self.broadcasts.enqueue(*node, URGENT_SENDS);
                    }
                    events.push(Event::Suspected(*node));
                }
                Liveness::Suspected if member.is_suspicion_expired(now) => {
                    member.set_liveness(Liveness::Gone, now);
                    events.push(Event::Gone(*node));
                }
                Liveness::Alive | Liveness::Suspected | Liveness::Gone => {}
            }
        }
        self.agents.retain(|_, member| {
            member.liveness != Liveness::Gone || now.since(member.changed_at) < TOMBSTONE_TIME
        });
        self.direct_agents = self.agents.values().filter(|it| it.has_recent_heartbeat(now)).count();
        self.leaving.retain(|node| {
            let member = self.agents.get(node);
            member.is_some_and(|it| now.since(it.heard_at) <= LEAVING_PRIORITY_TIME)
        });
        self.remove_expired_entries(now, &mut events);
        events
    }

    /// Agents of the group that are alive and accept new work.
    pub fn available(&self, group: &Group) -> Vec<NodeId> {
        let in_group = self.agents.values().filter(|it| it.serves(group) && it.is_available());
        in_group.map(|it| it.report.node).collect()
    }

    /// Looks up an agent.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.agents.get(&node)
    }

    /// All agents in the view, including those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.agents.values()
    }

    /// Entries that have sent a message and have not timed out since, sorted by address,
    /// without this node.
    pub fn entries(&self) -> Vec<NodeId> {
        let responsive = self.entries.values().filter(|it| it.is_responsive());
        let mut nodes: Vec<NodeId> = responsive.map(|it| it.node).collect();
        nodes.sort_unstable();
        nodes
    }

    /// All entries in the view, without this node.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.entries.values()
    }

    /// Entry that has applied the most of the log, if it is ahead of `next_offset`.
    pub fn entry_ahead_of(&self, next_offset: u64) -> Option<NodeId> {
        let ahead = self.entries.values().filter(|it| it.next_offset > next_offset);
        ahead.max_by_key(|it| (it.next_offset, it.node)).map(|it| it.node)
    }

    /// Entries that receive an agent's heartbeats: one in its own availability zone if any,
    /// the others by rendezvous hashing.
    pub fn heartbeat_entries(&self) -> Vec<NodeId> {
        let mut eligible: Vec<&Peer> =
            self.entries.values().filter(|it| it.unanswered < MAX_UNANSWERED).collect();
        if eligible.is_empty() {
            eligible = self.entries.values().collect();
        }
        eligible.sort_by_key(|it| it.rank);
        let nearest = eligible.iter().position(|it| it.zone == self.zone).unwrap_or(0);
        if nearest < eligible.len() {
            eligible[..=nearest].rotate_right(1);
        }
        eligible.iter().take(HEARTBEAT_ENTRIES).map(|it| it.node).collect()
    }

    /// Selects the entry for an agent's next heartbeat, round-robin.
    pub fn next_heartbeat(&mut self) -> Option<NodeId> {
        let targets = self.heartbeat_entries();
        self.heartbeat_turn = self.heartbeat_turn.wrapping_add(1);
        let node = *targets.get(self.heartbeat_turn % targets.len().max(1))?;
        if let Some(entry) = self.entries.get_mut(&node) {
            entry.unanswered = entry.unanswered.saturating_add(1);
        }
        Some(node)
    }

    fn update(&mut self, report: &AgentReport, source: Source, now: Timestamp) -> Change {
        self.now = self.now.max(now);
        if report.node == self.node {
            return Change::Stale;
        }
        let change = match self.agents.get_mut(&report.node) {
            Some(member) => member.update(report, source, now),
            None => {
                self.agents.insert(report.node, Member::new(report, source, now));
                Change::Joined
            }
        };
        if change == Change::Leaving {
            self.leaving.push(report.node);
        }
        match change {
            Change::Leaving | Change::Recovered => {
                self.broadcasts.enqueue(report.node, URGENT_SENDS)
            }
            Change::Joined if report.leaving => self.broadcasts.enqueue(report.node, URGENT_SENDS),
            Change::Joined | Change::Restarted => {
                self.broadcasts.enqueue(report.node, NORMAL_SENDS)
            }
            Change::Stale if self.is_not_alive(report.node) => {
                self.broadcasts.enqueue_if_absent(report.node)
            }
            Change::Updated | Change::Stale => {}
        }
        change
    }

    fn is_not_alive(&self, node: NodeId) -> bool {
        self.agents.get(&node).is_some_and(|it| it.liveness != Liveness::Alive)
    }

    fn entry_mut(&mut self, node: NodeId, now: Timestamp) -> Option<&mut Peer> {
        if node == self.node {
            return None;
        }
        let local = self.node;
        Some(self.entries.entry(node).or_insert_with(|| Peer::new(node, local, now)))
    }

    fn remove_expired_entries(&mut self, now: Timestamp, events: &mut Vec<Event>) {
        let limit = ENTRY_TIMEOUT + ENTRY_TIMEOUT_PER_ENTRY * self.entries.len() as u32;
        for entry in self.entries.values_mut() {
            let has_timed_out = entry.heard_at.is_some_and(|at| now.since(at) > limit);
            if has_timed_out {
                entry.heard_at = None;
                events.push(Event::EntryGone(entry.node));
            }
        }
        self.entries.retain(|_, entry| {
            entry.seed || entry.is_responsive() || now.since(entry.seen_at()) <= limit
        });
    }
}
