//! One group's part of the shard table, indexed for lookups.

use std::collections::BTreeSet;

use ident::{Group, NodeId, SHARD_COUNT, Shard, Timestamp};
use register::{Assignment, Table};

/// Assignments of one group's shards.
#[derive(Debug)]
pub(crate) struct View {
    assignments: Vec<Option<Assignment>>,
    /// Every owner and deputy.
    nodes: BTreeSet<NodeId>,
    unassigned: Vec<Shard>,
    vacant: Vec<Shard>,
}

impl View {
    /// Creates the view of a group without assignments.
    pub(crate) fn new() -> View {
        View {
            assignments: vec![None; usize::from(SHARD_COUNT)],
            nodes: BTreeSet::new(),
            unassigned: Shard::all().collect(),
            vacant: Vec::new(),
        }
    }

    /// Indexes the group's part of `table`.
    pub(crate) fn of(table: &Table, group: &Group) -> View {
        let mut view = View::new();
        for (shard, assignment) in table.group(group) {
            view.assignments[shard.index()] = Some(*assignment);
            view.nodes.insert(assignment.owner);
            view.nodes.extend(assignment.deputy);
            if is_vacant(assignment) {
                view.vacant.push(shard);
            }
        }
        view.unassigned.retain(|shard| view.assignments[shard.index()].is_none());
        view
    }

    /// Assignment of a shard.
    pub(crate) fn get(&self, shard: Shard) -> Option<&Assignment> {
        self.assignments[shard.index()].as_ref()
    }

    /// All assignments, in shard order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Shard, &Assignment)> {
        Shard::all().zip(&self.assignments).filter_map(|(shard, it)| Some((shard, it.as_ref()?)))
    }

    /// Every owner and deputy.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.nodes.iter().copied()
    }

    /// Shards that have never been assigned.
    pub(crate) fn unassigned(&self) -> &[Shard] {
        &self.unassigned
    }

    /// Assigned shards for which no node decides.
    pub(crate) fn vacant(&self) -> &[Shard] {
        &self.vacant
    }
}

/// Whether no node decides under the assignment.
pub(crate) fn is_vacant(assignment: &Assignment) -> bool {
    assignment.from == Timestamp::MAX
}
