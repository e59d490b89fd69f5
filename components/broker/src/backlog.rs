//! Predicts how long a job waits for free capacity.
//!
//! In a burst of all kinds of jobs every entry has a backlog, and the load is uneven, as one
//! zone may have more callers or fewer entries than another. Agents therefore tell each entry
//! how much work waits at the others. A job that would start too late is refused on arrival
//! rather than after a wait, while its caller can still retry elsewhere.
//!
//! After a restart of everything an entry hears the agents one by one within some hundred ms.
//! Endpoints of agents that are known and not heard yet are most likely idle, so they count as
//! free capacity until they had time to answer.

/// Work that competes for the endpoints of one service, in thousandths of a core times ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// Work at this entry that is ahead of the job.
    pub(crate) ahead: u64,
    /// All work that waits at this entry, without that of the job.
    pub(crate) own: u64,
    /// Work that waits at all other entries.
    pub(crate) other_entries: u64,
    /// Work that endpoints which are not heard yet can start at once.
    pub(crate) startable: u64,
    /// Capacity of all endpoints, in thousandths of a core.
    pub(crate) capacity: u64,
}

impl Backlog {
    /// Time until the work ahead of the job has been started, in ms; none without endpoints.
    pub(crate) fn wait(&self) -> Option<u64> {
        // Assumes that the same fraction of the work is ahead of the job at other entries as at
        // this one, or half of it if no work waits here to estimate the fraction from.
        let other_work = match self.own.max(self.ahead) {
            0 => self.other_entries / 2,
            own => self.other_entries.saturating_mul(self.ahead) / own,
        };
        let work = self.ahead.saturating_add(other_work).saturating_sub(self.startable);
        work.checked_div(self.capacity)
    }
}
