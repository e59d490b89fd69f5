//! Rendezvous hashing: spreads shards evenly over nodes, and reassigns few of them
//! when nodes join or leave.

use std::fmt::Write as _;

use ident::{NodeId, Shard};
use xxhash_rust::xxh3::xxh3_64;

/// Node with the highest weight for the shard.
pub(crate) fn choose(shard: Shard, nodes: impl Iterator<Item = NodeId>) -> Option<NodeId> {
    nodes.max_by_key(|node| (weight(shard, *node), *node))
}

fn weight(shard: Shard, node: NodeId) -> u64 {
    let mut key = String::new();
    write!(key, "{shard} {node}").expect("writing to a String never fails");
    xxh3_64(key.as_bytes())
}
