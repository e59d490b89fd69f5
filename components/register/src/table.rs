//! Table of shard assignments.

use std::collections::BTreeMap;

use ident::{Group, NodeId, SHARD_COUNT, Shard, Timestamp};
use serde::{Deserialize, Serialize};

/// Owner and deputy of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Assignment {
    /// Number of the assignment; each change of the shard increments it.
    pub epoch: u64,
    /// Node that decides for ids in the shard.
    pub owner: NodeId,
    /// Standby that may take over if the owner fails.
    pub deputy: Option<NodeId>,
    /// The owner decides only for ids made at or after this time.
    pub from: Timestamp,
    /// A deputy that takes over decides only for ids made at or after this time.
    pub grace: Timestamp,
}

/// Assignments of every group's shards.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "TableData", into = "TableData")]
pub struct Table {
    groups: BTreeMap<Group, BTreeMap<Shard, Assignment>>,
}

/// Encoded form of a table, with lists because JSON object keys are strings.
#[derive(Serialize)]
#[derive(Deserialize)]
#[serde(transparent)]
struct TableData {
    groups: Vec<(Group, Vec<(Shard, Assignment)>)>,
}

impl Table {
    /// Assignment of a shard, if it has one.
    pub fn get(&self, group: &Group, shard: Shard) -> Option<&Assignment> {
        self.groups.get(group)?.get(&shard)
    }

    /// Groups that have assignments.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.keys()
    }

    /// Assignments of a group, in shard order.
    pub fn group(&self, group: &Group) -> impl Iterator<Item = (Shard, &Assignment)> {
        let shards = self.groups.get(group).into_iter().flatten();
        shards.map(|(shard, assignment)| (*shard, assignment))
    }

    /// Shards of a group that have no assignment.
    pub fn unassigned(&self, group: &Group) -> Vec<Shard> {
        Shard::all().filter(|shard| self.get(group, *shard).is_none()).collect()
    }

    /// Whether every shard of the group has an assignment.
    pub fn is_complete(&self, group: &Group) -> bool {
        self.group(group).count() == usize::from(SHARD_COUNT)
    }

    /// Whether no shard has an assignment.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Sets the assignment if its epoch is one above the current one; returns whether it was.
    pub(crate) fn apply(&mut self, group: &Group, shard: Shard, assignment: Assignment) -> bool {
        let present = self.get(group, shard).map_or(0, |it| it.epoch);
        if present.checked_add(1) != Some(assignment.epoch) {
            return false;
        }
        self.groups.entry(group.clone()).or_default().insert(shard, assignment);
        true
    }

    /// Whether this table has every shard of `older`, at the same or a later epoch.
    pub(crate) fn supersedes(&self, older: &Table) -> bool {
        older.groups.iter().all(|(group, shards)| {
            shards.iter().all(|(shard, assignment)| {
                self.get(group, *shard).is_some_and(|it| it.epoch >= assignment.epoch)
            })
        })
    }
}

impl From<TableData> for Table {
    fn from(data: TableData) -> Table {
        let groups = data.groups.into_iter();
        Table {
            groups: groups.map(|(group, shards)| (group, BTreeMap::from_iter(shards))).collect(),
        }
    }
}

impl From<Table> for TableData {
    fn from(table: Table) -> TableData {
        let groups = table.groups.into_iter();
        TableData {
            groups: groups.map(|(group, shards)| (group, Vec::from_iter(shards))).collect(),
        }
    }
}
