//! Shards for which new ids can be generated.
//!
//! Only shards with a stable owner qualify. An owner without contact to its deputy
//! may soon lose the right to decide, so a shard is skipped if its owner or its
//! deputy is not alive. It is also skipped if its owner has just started, as the
//! owner then refuses ids from around its start.

use std::{collections::HashMap, time::Duration};

use ident::{Group, NodeId, SHARD_COUNT, Shard, Timestamp};
use members::{Liveness, Members};
use register::{Assignment, Table};

/// Time after its start during which an owner refuses new ids.
const STARTUP_DELAY: Duration = Duration::from_millis(2500);

/// Stable shards by owner.
#[derive(Debug, Default)]
pub struct StableShards {
    by_node: HashMap<NodeId, OwnedShards>,
}

/// Stable shards of one owner.
#[derive(Debug)]
struct OwnedShards {
    group: Group,
    shards: [bool; SHARD_COUNT as usize],
}

impl StableShards {
    /// Collects the stable shards of a table.
    pub fn of(table: &Table, members: &Members, now: Timestamp) -> StableShards {
        let mut by_node: HashMap<NodeId, OwnedShards> = HashMap::new();
        for group in table.groups() {
            let stable = table.group(group).filter(|(_, it)| is_stable(it, members, now));
            for (shard, assignment) in stable {
                let owned = by_node.entry(assignment.owner).or_insert_with(|| OwnedShards {
                    group: group.clone(),
                    shards: [false; SHARD_COUNT as usize],
                });
                owned.shards[shard.index()] = true;
            }
        }
        StableShards { by_node }
    }

    /// Whether the node owns any stable shard.
    pub fn has_any(&self, node: NodeId) -> bool {
        self.by_node.contains_key(&node)
    }

    /// Whether the node is the stable owner of the shard in its group.
    pub fn has(&self, node: NodeId, shard: Shard) -> bool {
        self.by_node.get(&node).is_some_and(|owned| owned.shards[shard.index()])
    }

    /// Whether the group's shard has a stable owner.
    pub fn is_stable(&self, group: &Group, shard: Shard) -> bool {
        let mut owners = self.by_node.values().filter(|owned| owned.group == *group);
        owners.any(|owned| owned.shards[shard.index()])
    }
}

fn is_stable(assignment: &Assignment, members: &Members, now: Timestamp) -> bool {
    let alive =
        |node: NodeId| members.get(node).filter(|member| member.liveness == Liveness::Alive);
    let owner = alive(assignment.owner);
    let accepts_ids = owner.is_some_and(|it| it.report.incarnation.0 + STARTUP_DELAY <= now);
    accepts_ids && assignment.deputy.is_none_or(|deputy| alive(deputy).is_some())
}
