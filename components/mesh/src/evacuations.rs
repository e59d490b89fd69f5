//! Evacuated availability zones, as processes tell each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Evacuated zones after a complete prefix of the operator's log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Evacuations {
    /// Offset up to which the log was read; of two states the one with the higher end is newer.
    pub end: u64,
    /// Evacuated zones, with the offsets of their records.
    pub zones: BTreeMap<String, u64>,
}
