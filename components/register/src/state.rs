//! The state and its transitions.

use std::{fmt, sync::Arc};

use ::config::CheckError;
use ident::{Group, Shard};
use mutation::{Mechanism, is_disabled};
use serde::{Deserialize, Serialize};

use crate::{Assignment, Config, Record, Table};

/// State after all records before an offset.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to apply.
    pub next_offset: u64,
    /// Current configuration, if any has been published.
    pub config: Option<Arc<Config>>,
    /// Table of shard owners.
    pub table: Table,
}

/// Effect of a record on the state.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// Current configuration was replaced.
    Config {
        /// Version of the new configuration.
        version: u64,
    },
    /// Shards whose assignment changed; shards with a stale or skipped epoch are left out.
    Assigned(Vec<Shard>),
    /// Snapshot for processes that miss earlier records; the state is unchanged.
    Snapshot,
    /// The record is void and changed nothing.
    Void(VoidReason),
}

/// Why a record is void.
#[derive(Debug, Clone, PartialEq)]
pub enum VoidReason {
    /// The inventory was edited from a version that is not the current one.
    StaleBase {
        /// Version that it was edited from.
        base: u64,
        /// Current version.
        current: u64,
    },
    /// The inventory is invalid.
    Invalid(CheckError),
    /// No epoch in it is the next one of its shard.
    StaleEpochs,
    /// The snapshot claims to cover records at or after its own offset.
    SnapshotAhead,
    /// The record's offset has been applied or skipped already.
    Repeated,
}

/// Error in decoding a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    detail: String,
}

impl State {
    /// Version of the current configuration, 0 for none.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Whether the state has neither a configuration nor assignments.
    pub fn is_empty(&self) -> bool {
        self.config.is_none() && self.table.is_empty()
    }

    /// Applies the record at `offset`; all records before it have been applied or skipped.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Applied {
        if offset < self.next_offset {
            return Applied::Void(VoidReason::Repeated);
        }
        self.next_offset = offset + 1;
        match record {
            Record::Config { base, text, .. } => self.apply_config(offset, *base, text),
            Record::Assign { group, shards, .. } => self.apply_assign(group, shards),
            Record::Snapshot { state, .. } if state.next_offset > offset => {
                Applied::Void(VoidReason::SnapshotAhead)
            }
            Record::Snapshot { .. } => Applied::Snapshot,
        }
    }

    /// Skips all records before `offset` that have not been applied.
    pub fn skip_to(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// Replaces the state by `newer`, if that is later; returns whether it was.
    ///
    /// A state with an older configuration or older assignments is not later, even if
    /// its offset is higher.
    pub fn adopt(&mut self, newer: State) -> bool {
        let later = newer.next_offset > self.next_offset
            && newer.version() >= self.version()
            && newer.table.supersedes(&self.table);
        if later || is_disabled(Mechanism::MonotonicState) {
            *self = newer;
        }
        later
    }

    /// Encodes the state for a peer.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a state has only types that postcard can encode")
    }

    /// Decodes a peer's state.
    pub fn decode(bytes: &[u8]) -> Result<State, DecodeError> {
        postcard::from_bytes(bytes).map_err(|err| DecodeError { detail: err.to_string() })
    }

    fn apply_config(&mut self, offset: u64, base: u64, text: &str) -> Applied {
        let current = self.version();
        if base != current && !is_disabled(Mechanism::BaseVersion) {
            return Applied::Void(VoidReason::StaleBase { base, current });
        }
        match Config::parse(offset, text) {
            Ok(config) => {
                self.config = Some(Arc::new(config));
                Applied::Config { version: offset }
            }
            Err(err) => Applied::Void(VoidReason::Invalid(err)),
        }
    }

    fn apply_assign(&mut self, group: &Group, shards: &[(Shard, Assignment)]) -> Applied {
        let mut changed = Vec::new();
        for (shard, assignment) in shards {
            if self.table.apply(group, *shard, *assignment) {
                changed.push(*shard);
            }
        }
        match changed.is_empty() {
            true => Applied::Void(VoidReason::StaleEpochs),
            false => Applied::Assigned(changed),
        }
    }
}

impl fmt::Display for VoidReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            VoidReason::StaleBase { base, current } => write!(
                f,
                "it was edited from version {base}, but version {current} is in force; \
                 fetch that version, repeat the edit and publish again"
            ),
            VoidReason::Invalid(err) => write!(f, "it is invalid:\n{err}"),
            VoidReason::StaleEpochs => {
                f.write_str("its epochs are stale; another assignment came first")
            }
            VoidReason::SnapshotAhead => {
                f.write_str("it claims to cover records at or after its own offset")
            }
            VoidReason::Repeated => f.write_str("its offset has already been applied or skipped"),
        }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid state encoding: {}", self.detail)
    }
}

impl std::error::Error for DecodeError {}
