//! The state and how records change it.

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
    /// The state was repeated for processes that lack the records behind it.
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
    /// The snapshot claims to hold records that come after it.
    SnapshotAhead,
    /// The record was applied before.
    Repeated,
}

/// Bytes that hold no state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    detail: String,
}

impl State {
    /// Version of the configuration in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Whether no record has had an effect.
    pub fn is_empty(&self) -> bool {
        self.config.is_none() && self.table.is_empty()
    }

    /// Applies the record at `offset`; all records before it have been applied or skipped.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Applied {
        if offset < self.next_offset {
            return Applied::Void(Void::Repeated);
        }
        self.next_offset = offset + 1;
        match record {
            Record::Config { base, text, .. } => self.apply_config(offset, *base, text),
            Record::Assign { group, shards, .. } => self.apply_assign(group, shards),
            Record::Snapshot { state, .. } if state.next_offset > offset => {
                Applied::Void(Void::SnapshotAhead)
            }
            Record::Snapshot { .. } => Applied::Snapshot,
        }
    }

    /// Passes over all records before `offset` that have not been applied.
    pub fn skip_to(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// Takes over a later state; returns whether it was later.
    ///
    /// A state that holds an older configuration or older owners is not later,
    /// whatever its offset says.
    pub fn adopt(&mut self, newer: State) -> bool {
        let later = newer.next_offset > self.next_offset
            && newer.version() >= self.version()
            && newer.table.follows(&self.table);
        if later || is_disabled(Mechanism::MonotonicState) {
            *self = newer;
        }
        later
    }

    /// Encodes the state for a peer.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a state has only types that postcard can hold")
    }

    /// Decodes a peer's state.
    pub fn decode(bytes: &[u8]) -> Result<State, DecodeError> {
        postcard::from_bytes(bytes).map_err(|err| DecodeError { detail: err.to_string() })
    }

    fn apply_config(&mut self, offset: u64, base: u64, text: &str) -> Applied {
        let current = self.version();
        if base != current && !is_disabled(Mechanism::BaseVersion) {
            return Applied::Void(Void::StaleBase { base, current });
        }
        match Config::parse(offset, text) {
            Ok(config) => {
                self.config = Some(Arc::new(config));
                Applied::Config { version: offset }
            }
            Err(err) => Applied::Void(Void::Invalid(err)),
        }
    }

    fn apply_assign(&mut self, group: &Group, shards: &[(Shard, Assignment)]) -> Applied {
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
            Void::SnapshotAhead => f.write_str("it claims to hold records that come after it"),
            Void::Repeated => f.write_str("it was applied before"),
        }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the bytes hold no state: {}", self.detail)
    }
}

impl std::error::Error for DecodeError {}
