//! Records of the platform's log.

use ident::{Group, NodeId, Shard};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{Assignment, State};

/// Random id of a record, by which its writer finds it if the response was lost.
pub type RecordId = Uuid;

/// A record of the platform's log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// Inventory published by an operator.
    Config {
        /// Id of the record.
        record: RecordId,
        /// Version that the inventory was edited from, 0 for none.
        base: u64,
        /// Inventory in TOML.
        text: String,
    },
    /// Change of the owners or deputies of shards.
    Assign {
        /// Id of the record.
        record: RecordId,
        /// Node that appends it.
        by: NodeId,
        /// Group whose shards change.
        group: Group,
        /// New assignments; each is valid if its epoch is one above the current one.
        shards: Vec<(Shard, Assignment)>,
    },
    /// Snapshot of the state, appended before the log truncates the records it covers.
    Snapshot {
        /// Id of the record.
        record: RecordId,
        /// State after all records before `state.next_offset`.
        state: Box<State>,
    },
}

impl Record {
    /// Id of the record.
    pub fn id(&self) -> RecordId {
        match self {
            Record::Config { record, .. }
            | Record::Assign { record, .. }
            | Record::Snapshot { record, .. } => *record,
        }
    }
}
