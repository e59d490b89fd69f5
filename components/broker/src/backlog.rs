//! Predicts how long a job waits for room.
//!
//! In a burst of all kinds every entry has a backlog, and each sees only its own. Entries
//! get about equal shares of the load, so an entry counts on its share of the endpoints.
//! A job that would start too late is refused on arrival, when its caller can still go
//! elsewhere, and not after a wait.

/// Load that an entry can count on having room for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// Thousandths of a core times ms that go first.
    pub(crate) work: u64,
    /// Thousandths of a core of all endpoints.
    pub(crate) capacity: u64,
    /// Entries that share the endpoints.
    pub(crate) entries: u64,
}

impl Backlog {
    /// Time until the work that goes first has been started, in ms; none without endpoints.
    pub(crate) fn wait(&self) -> Option<u64> {
        if self.capacity == 0 {
            return None;
        }
        Some(self.work * self.entries.max(1) / self.capacity)
    }
}
