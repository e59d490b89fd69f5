//! Which nodes of the group membership considers alive, and for how long.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use ident::{NodeId, Timestamp};

/// Time without a membership change after which the group counts as settled and
/// shards may move.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time between two ticks above which this process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Largest group in which membership reports every node to every other one.
const MAX_FULL_VIEW: usize = 32;

/// Nodes that membership considers alive.
#[derive(Debug)]
pub(crate) struct Presence {
    /// Sorted, without duplicates.
    alive: Vec<NodeId>,
    seen: HashSet<NodeId>,
    expected: Vec<NodeId>,
    changed_at: Timestamp,
    ticked_at: Timestamp,
    resumed_at: Timestamp,
    missing: HashMap<NodeId, Timestamp>,
}

impl Presence {
    pub(crate) fn new(start: Timestamp) -> Presence {
        Presence {
            alive: Vec::new(),
            seen: HashSet::new(),
            expected: Vec::new(),
            changed_at: start,
            ticked_at: start,
            resumed_at: start,
            missing: HashMap::new(),
        }
    }

    /// Sets the nodes that are alive; a pause of this process counts as a change.
    pub(crate) fn update(&mut self, alive: &[NodeId], now: Timestamp) {
        let mut alive = alive.to_vec();
        alive.sort_unstable();
        alive.dedup();
        let has_paused = now.since(self.ticked_at) > PAUSE_THRESHOLD;
        self.ticked_at = now;
        if has_paused {
            self.resumed_at = now;
            self.missing.clear();
        }
        if has_paused || alive != self.alive {
            self.changed_at = now;
            self.seen.extend(&alive);
            self.alive = alive;
            self.update_missing(now);
        }
    }

    /// Sets the nodes that are an owner or a deputy in the table.
    pub(crate) fn set_expected(&mut self, nodes: impl Iterator<Item = NodeId>, now: Timestamp) {
        self.expected = nodes.collect();
        self.update_missing(now);
    }

    fn update_missing(&mut self, now: Timestamp) {
        let alive = &self.alive;
        let is_missing = |node: &NodeId| alive.binary_search(node).is_err();
        self.missing.retain(|node, _| is_missing(node));
        for node in self.expected.iter().filter(|node| is_missing(node)) {
            self.missing.entry(*node).or_insert(now);
        }
    }

    /// Nodes that are alive.
    pub(crate) fn alive(&self) -> impl Iterator<Item = NodeId> {
        self.alive.iter().copied()
    }

    /// Whether `node` is alive.
    pub(crate) fn is_alive(&self, node: NodeId) -> bool {
        self.alive.binary_search(&node).is_ok()
    }

    /// Whether `node` was alive earlier and is not now; always false in a group so
    /// large that membership may have stopped reporting a node that is alive.
    pub(crate) fn has_left(&self, node: NodeId) -> bool {
        self.sees_all() && self.seen.contains(&node) && !self.is_alive(node)
    }

    /// Whether membership reports the whole group to this node.
    fn sees_all(&self) -> bool {
        self.seen.len() <= MAX_FULL_VIEW
    }

    /// Whether this process has run long enough, since its start or last pause, to have
    /// heard from its peers.
    pub(crate) fn is_warmed_up(&self, now: Timestamp) -> bool {
        now.since(self.resumed_at) >= SETTLE_TIME
    }

    /// Nodes of the table that have been missing for at least `time`; empty if
    /// membership does not report the whole group.
    pub(crate) fn missing(&self, time: Duration, now: Timestamp) -> Vec<NodeId> {
        if !self.sees_all() {
            return Vec::new();
        }
        let missing = self.missing.iter().filter(|(_, since)| now.since(**since) >= time);
        missing.map(|(node, _)| *node).collect()
    }

    /// Time since the group settled; `None` while it changes.
    pub(crate) fn settled_for(&self, now: Timestamp) -> Option<Duration> {
        now.since(self.changed_at).checked_sub(SETTLE_TIME)
    }

    /// Position of `node` among the nodes that are alive.
    pub(crate) fn rank(&self, node: NodeId) -> u32 {
        let before = self.alive.iter().filter(|it| **it < node).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }
}
