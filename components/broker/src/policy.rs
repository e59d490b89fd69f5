//! Parameters of scheduling and admission, so that experiments can compare policies.

use crate::{
    limits::{AGENT_WAIT_MS, BASE_WAIT_PERCENT, CONGESTED_WAIT_PERCENT},
    watch::MIN_WATCHED,
};

/// Order of jobs that wait for free capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// By latest start; jobs that can no longer meet their objective come last.
    LatestStart,
    /// By arrival.
    Fifo,
}

/// Scheduling policy of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Order of waiting jobs.
    pub order: QueueOrder,
    /// Longest predicted wait with which a job is admitted while most jobs find free capacity
    /// on arrival, in percent of the time until its latest start.
    pub base_wait: u64,
    /// Longest predicted wait with which a job is admitted while no job finds free capacity on
    /// arrival, in percent of the time until its latest start.
    pub congested_wait: u64,
    /// Time for which a run may wait for free capacity at an agent, in ms.
    pub agent_wait: u32,
    /// Smallest number of agents that an entry watches.
    pub min_watched: usize,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            order: QueueOrder::LatestStart,
            base_wait: BASE_WAIT_PERCENT,
            congested_wait: CONGESTED_WAIT_PERCENT,
            agent_wait: AGENT_WAIT_MS,
            min_watched: MIN_WATCHED,
        }
    }
}
