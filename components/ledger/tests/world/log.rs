//! Simulated log of the platform.

use std::sync::Arc;

use ident::{NodeId, Shard, Timestamp};
use register::{Assignment, Record, State, Table};
use uuid::Uuid;

use super::{group, node};

/// Log that can fail, kept as the state after all of its records.
pub struct Log {
    /// Whether the log is available.
    pub is_up: bool,
    state: State,
    table: Arc<Table>,
}

impl Log {
    pub fn new() -> Log {
        Log { is_up: true, state: State::default(), table: Arc::default() }
    }

    /// Appends an assignment of shards.
    pub fn append(&mut self, by: NodeId, shards: Vec<(Shard, Assignment)>) {
        let record = Record::Assign { record: Uuid::nil(), by, group: group(), shards };
        self.state.apply(self.state.next_offset, &record);
        self.table = Arc::new(self.state.table.clone());
    }

    /// First offset without a record.
    pub fn next_offset(&self) -> u64 {
        self.state.next_offset
    }

    /// Table after all records.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Table that a reader receives.
    pub fn read(&self) -> Arc<Table> {
        Arc::clone(&self.table)
    }

    /// Assigns every shard to an owner among the first `count` nodes and, if there are at least
    /// two, to a deputy.
    pub fn assign_all(&mut self, count: usize, from: Timestamp) {
        let assign = |shard: Shard| {
            let owner = shard.index() % count;
            let step = 1 + (shard.index() / count) % (count - 1).max(1);
            let deputy = (count > 1).then(|| node((owner + step) % count));
            Assignment { epoch: 1, owner: node(owner), deputy, from, grace: from }
        };
        let shards = Shard::all().map(|shard| (shard, assign(shard))).collect();
        self.append(node(0), shards);
    }
}
