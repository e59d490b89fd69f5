//! Predicts how long a job waits for room.
//!
//! In a burst of all kinds every entry has a backlog, and entries are loaded unevenly, as a
//! zone may have more callers or fewer entries than another. Agents therefore tell each
//! entry how much work waits at the others. A job that would start too late is refused on
//! arrival, when its caller can still go elsewhere, and not after a wait.

/// Work that waits for the same endpoints, in thousandths of a core times ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// Work at this entry that goes first.
    pub(crate) ahead: u64,
    /// All work that waits at this entry, without the job in question.
    pub(crate) own: u64,
    /// Work at other entries.
    pub(crate) others: u64,
    /// Thousandths of a core of all endpoints.
    pub(crate) capacity: u64,
}

impl Backlog {
    /// Time until the work that goes first has been started, in ms; none without endpoints.
    pub(crate) fn wait(&self) -> Option<u64> {
        // The same part of the work goes first at other entries as at this one; half of it, if
        // none waits here to judge by.
        let others = match self.own.max(self.ahead) {
            0 => self.others / 2,
            own => self.others * self.ahead / own,
        };
        (self.ahead + others).checked_div(self.capacity)
    }
}
