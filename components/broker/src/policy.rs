//! What an entry decides by, as parameters that experiments compare.

use crate::limits::{CROWDED_WAIT, PATIENCE_MS, ROOMY_WAIT};

/// Order in which jobs wait for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// By the latest start that keeps their objective; jobs that have missed it come last.
    LatestStart,
    /// As they came.
    FirstCome,
}

/// How an entry decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Order of waiting jobs.
    pub order: Order,
    /// Part of the time until its latest start for which a job may have to wait while most jobs
    /// find room at once, in percent; it is refused if its wait is predicted to be longer.
    pub roomy_wait: u64,
    /// The same while no job finds room at once.
    pub crowded_wait: u64,
    /// Time for which an agent may let a run wait for room, in ms.
    pub patience: u32,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            order: Order::LatestStart,
            roomy_wait: ROOMY_WAIT,
            crowded_wait: CROWDED_WAIT,
            patience: PATIENCE_MS,
        }
    }
}
