//! Shards of the id space.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::RequestId;

/// Number of shards in each group of agents.
pub const SHARD_COUNT: u16 = 256;

/// Part of the id space with a single owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Shard(u16);

impl Shard {
    /// Shard that `id` belongs to.
    pub fn of(id: RequestId) -> Shard {
        Shard((xxh3_64(id.uuid().as_bytes()) % u64::from(SHARD_COUNT)) as u16)
    }

    /// Shard with the given number, if there is one.
    pub fn from_index(index: u16) -> Option<Shard> {
        (index < SHARD_COUNT).then_some(Shard(index))
    }

    /// All shards, in order.
    pub fn all() -> impl Iterator<Item = Shard> {
        (0..SHARD_COUNT).map(Shard)
    }

    /// Index among all shards.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
