//! Table of shard owners.

use std::collections::BTreeMap;

use ident::{Group, NodeId, SHARD_COUNT, Shard, Timestamp};
use serde::{Deserialize, Serialize};

/// Who decides for a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Number of the assignment; each change of the shard adds one.
    pub epoch: u64,
    /// Node that decides for the shard's ids.
    pub owner: NodeId,
    /// Node that may take over from a silent owner.
    pub deputy: Option<NodeId>,
    /// The owner decides only for ids made at or after this time.
    pub from: Timestamp,
    /// A deputy taking over decides only for ids made at or after this time.
    pub grace: Timestamp,
}

/// Assignments of every group's shards.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    groups: Vec<(Group, BTreeMap<Shard, Assignment>)>,
}

impl Table {
    /// Assignment of a shard, if it has one.
    pub fn get(&self, group: &Group, shard: Shard) -> Option<&Assignment> {
        let (_, shards) = self.groups.iter().find(|(name, _)| name == group)?;
        shards.get(&shard)
    }

    /// Assignments of a group, in shard order.
    pub fn group(&self, group: &Group) -> impl Iterator<Item = (Shard, &Assignment)> {
        let found = self.groups.iter().find(|(name, _)| name == group);
        found.into_iter().flat_map(|(_, shards)| shards.iter().map(|(shard, it)| (*shard, it)))
    }

    /// Shards of a group that have no owner.
    pub fn unassigned(&self, group: &Group) -> Vec<Shard> {
        Shard::all().filter(|shard| self.get(group, *shard).is_none()).collect()
    }

    /// Whether every shard of the group has an owner.
    pub fn is_complete(&self, group: &Group) -> bool {
        self.group(group).count() == usize::from(SHARD_COUNT)
    }

    /// Sets the assignment if its epoch follows the present one.
    pub(crate) fn set(&mut self, group: &Group, shard: Shard, assignment: Assignment) -> bool {
        let present = self.get(group, shard).map_or(0, |it| it.epoch);
        if assignment.epoch != present + 1 {
            return false;
        }
        if !self.groups.iter().any(|(name, _)| name == group) {
            self.groups.push((group.clone(), BTreeMap::new()));
        }
        for (name, shards) in &mut self.groups {
            if name == group {
                shards.insert(shard, assignment);
            }
        }
        true
    }
}
