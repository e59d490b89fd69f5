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
    ever_alive: HashSet<NodeId>,
    /// Owners and deputies in the table.
    expected: Vec<NodeId>,
    /// Time of the last change of `alive` or end of a pause.
    changed_at: Timestamp,
    ticked_at: Timestamp,
    /// Start of the process or end of its last pause.
    resumed_at: Timestamp,
    /// Owners and deputies that are not alive, and the time since when.
    missing: HashMap<NodeId, Timestamp>,
}

impl Presence {
    pub(crate) fn new(start: Timestamp) -> Presence {
        Presence {
            alive: Vec::new(),
            ever_alive: HashSet::new(),
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
            self.ever_alive.extend(&alive);
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
        self.has_full_view() && self.ever_alive.contains(&node) && !self.is_alive(node)
    }

    /// Whether membership reports the whole group to this node.
    fn has_full_view(&self) -> bool {
        self.ever_alive.len() <= MAX_FULL_VIEW
    }

    /// Whether this process has run long enough, since its start or last pause, to have
    /// received messages from its peers.
    pub(crate) fn is_warmed_up(&self, now: Timestamp) -> bool {
        now.since(self.resumed_at) >= SETTLE_TIME
    }

    /// Nodes of the table that have been missing for at least `time`; empty if
    /// membership does not report the whole group.
    pub(crate) fn missing(&self, time: Duration, now: Timestamp) -> Vec<NodeId> {
        if !self.has_full_view() {
            return Vec::new();
        }
        let missing = self.missing.iter().filter(|(_, since)| now.since(**since) >= time);
        missing.map(|(node, _)| *node).collect()
    }

    /// Time since the group settled; `None` while it changes.
    pub(crate) fn settled_for(&self, now: Timestamp) -> Option<Duration> {
        now.since(self.changed_at).checked_sub(SETTLE_TIME)
    }

    /// Number of nodes that are alive and precede `node` in address order.
    pub(crate) fn rank(&self, node: NodeId) -> u32 {
        let before = self.alive.iter().filter(|it| **it < node).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }
}
