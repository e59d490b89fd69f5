//! Memory for what a process holds beyond the read of a request.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes for each permit of the semaphore.
const UNIT_BYTES: usize = 64;

/// Memory that is reserved piece by piece; clones share it.
#[derive(Clone)]
pub struct Budget {
    permits: Arc<Semaphore>,
    /// Largest reservation, in permits.
    all: u32,
}

/// Reserved memory, released on drop.
#[derive(Debug)]
pub struct Reservation {
    _permit: OwnedSemaphorePermit,
}

impl Budget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Budget {
        let units = (bytes / UNIT_BYTES).clamp(1, Semaphore::MAX_PERMITS);
        let all = u32::try_from(units).unwrap_or(u32::MAX);
        Budget { permits: Arc::new(Semaphore::new(all as usize)), all }
    }

    /// Bytes that are not reserved.
    pub fn free(&self) -> usize {
        self.permits.available_permits() * UNIT_BYTES
    }

    /// Reserves memory if there is enough.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok()?;
        let permit = Arc::clone(&self.permits).try_acquire_many_owned(units).ok()?;
        Some(Reservation { _permit: permit })
    }

    /// Waits until there is enough memory, and reserves it; more than all counts as all.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX).min(self.all);
        let permit = Arc::clone(&self.permits).acquire_many_owned(units).await;
        Reservation { _permit: permit.expect("the semaphore is never closed") }
    }
}
