//! Limits on the jobs in progress.

use std::sync::Arc;

use intake::{Budget, Reservation, Shares};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Share of the connections that may wait for jobs: three quarters. The rest is for callers who ask
/// for a job, cancel it, or are refused.
const JOBS_MULTIPLE: usize = 3;
const JOBS_DIVISOR: usize = 4;

/// Memory and slots for jobs in progress.
pub(crate) struct JobLimits {
    memory: Budget,
    slots: Arc<Semaphore>,
}

/// Memory and slot of a job in progress, released on drop.
pub(crate) struct JobHold {
    _memory: Reservation,
    _slot: OwnedSemaphorePermit,
}

impl JobLimits {
    /// Creates the limits of a process.
    pub(crate) fn new(shares: &Shares) -> JobLimits {
        let slots = shares.connections * JOBS_MULTIPLE / JOBS_DIVISOR;
        let memory = Budget::new(shares.request_bytes);
        JobLimits { memory, slots: Arc::new(Semaphore::new(slots)) }
    }

    /// Takes a slot and this many bytes, if both are free.
    pub(crate) fn try_hold(&self, bytes: usize) -> Option<JobHold> {
        let memory = self.memory.try_reserve(bytes)?;
        let slot = Arc::clone(&self.slots).try_acquire_owned().ok()?;
        Some(JobHold { _memory: memory, _slot: slot })
    }

    /// Bytes and slots that are free.
    pub(crate) fn free(&self) -> (usize, usize) {
        (self.memory.free(), self.slots.available_permits())
    }
}
