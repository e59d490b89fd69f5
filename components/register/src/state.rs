//! The state and how records change it.

use std::{fmt, sync::Arc};

use config::{CheckError, Inventory};
use ident::Shard;
use serde::{Deserialize, Serialize};

use crate::{Record, Table};

/// Configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Offset of the record that published it.
    pub version: u64,
    /// Its text, as published.
    pub text: String,
    /// Its parsed form.
    pub inventory: Inventory,
}

/// State after all records before an offset.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// First offset that has not been applied.
    pub next_offset: u64,
    /// Configuration in force, if any has been published.
    pub config: Option<Arc<Config>>,
    /// Table of shard owners.
    pub table: Table,
}

/// What a record did.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// A configuration came into force.
    Config {
        /// Its version.
        version: u64,
    },
    /// Some shards changed hands; shards with a stale epoch are left out.
    Assigned(Vec<Shard>),
    /// The state was repeated, or adopted by a process that had none.
    Snapshot,
    /// The record changed nothing.
    Void(Void),
}

/// Why a record changed nothing.
#[derive(Debug, Clone, PartialEq)]
pub enum Void {
    /// The inventory was edited from another version than the one in force.
    StaleBase {
        /// Version that it was edited from.
        base: u64,
        /// Version in force.
        current: u64,
    },
    /// The inventory does not pass its checks.
    Invalid(CheckError),
    /// Every shard in it has moved on.
    StaleEpochs,
    /// The record was applied before.
    Repeated,
}

impl State {
    /// Version of the configuration in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Applied {
        if offset < self.next_offset {
            return Applied::Void(Void::Repeated);
        }
        self.next_offset = offset + 1;
        match record {
            Record::Config { base, text, .. } => self.apply_config(offset, *base, text),
            Record::Assign { group, shards, .. } => {
                let mut changed = Vec::new();
                for (shard, assignment) in shards {
                    if self.table.set(group, *shard, *assignment) {
                        changed.push(*shard);
                    }
                }
                match changed.is_empty() {
                    true => Applied::Void(Void::StaleEpochs),
                    false => Applied::Assigned(changed),
                }
            }
            Record::Snapshot { .. } => Applied::Snapshot,
        }
    }

    fn apply_config(&mut self, offset: u64, base: u64, text: &str) -> Applied {
        let current = self.version();
        if base != current {
            return Applied::Void(Void::StaleBase { base, current });
        }
        match Inventory::parse(text) {
            Ok(inventory) => {
                let config = Config { version: offset, text: text.to_owned(), inventory };
                self.config = Some(Arc::new(config));
                Applied::Config { version: offset }
            }
            Err(err) => Applied::Void(Void::Invalid(err)),
        }
    }
}

impl fmt::Display for Void {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Void::StaleBase { base, current } => write!(
                f,
                "it was edited from version {base}, but version {current} is in force; \
                 fetch that version, repeat the edit and publish again"
            ),
            Void::Invalid(err) => write!(f, "it does not pass its checks:\n{err}"),
            Void::StaleEpochs => f.write_str("another assignment came first"),
            Void::Repeated => f.write_str("it was applied before"),
        }
    }
}
