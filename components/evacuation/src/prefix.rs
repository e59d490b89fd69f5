//! State of the evacuated zones, built from the records of the operator's log.

use mesh::Evacuations;

/// State after a complete prefix of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPrefix {
    state: Evacuations,
}

impl LogPrefix {
    /// Creates the state from the newest records of all keys.
    ///
    /// `end` is the end of the log by the oldest page of the read. The pages may lack or already
    /// contain records from `end` on; these are applied again afterwards.
    pub fn new(end: u64, zones: impl IntoIterator<Item = (String, u64)>) -> LogPrefix {
        LogPrefix { state: Evacuations { end, zones: zones.into_iter().collect() } }
    }

    /// The state.
    pub fn state(&self) -> &Evacuations {
        &self.state
    }

    /// Applies a record of the log that evacuates a zone or takes it back.
    ///
    /// Records before the end are part of the state. Reads may return them again.
    pub fn apply(&mut self, offset: u64, zone: &str, evacuated: bool) {
        if offset < self.state.end {
            return;
        }
        let known = self.state.zones.get(zone).copied();
        if known.is_some_and(|known| known > offset) {
            // The newest record of the zone was on a newer page.
            return;
        }
        if evacuated {
            self.state.zones.insert(zone.to_owned(), offset);
        } else {
            self.state.zones.remove(zone);
        }
    }

    /// Moves the end to `end` after all records before it were applied; it never moves back.
    pub fn advance(&mut self, end: u64) {
        self.state.end = self.state.end.max(end);
    }
}
