//! Agents of a group.

use std::time::Duration;

use ident::{NodeId, Timestamp};
use rand::{Rng, seq::IndexedRandom};

use crate::health::BaselineHealth;

/// Largest number of agents in the router's own availability zone that are compared
/// for a request; as many again in the other zones. They are drawn at random.
const MAX_CANDIDATES: usize = 8;

/// Weight of the newest request in the mean of the expected run times.
const RUN_TIME_WEIGHT: f64 = 0.01;

/// Run time and health of a group, with which its agents are compared.
#[derive(Debug, Default)]
pub(crate) struct Baseline {
    /// Exponentially weighted mean of the expected run times of requests sent to the
    /// group.
    pub(crate) run_time: Duration,
    /// Baseline of the agents' health.
    pub(crate) health: BaselineHealth,
}

/// Agents of a group, divided into those of the router's availability zone and the
/// rest.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) local: Vec<NodeId>,
    pub(crate) remote: Vec<NodeId>,
    /// Half-open agents as of the latest check for outliers.
    pub(crate) half_open: Vec<NodeId>,
    /// Time of the latest check for outliers.
    pub(crate) checked_at: Timestamp,
    pub(crate) baseline: Baseline,
}

impl Pool {
    pub(crate) fn add(&mut self, node: NodeId, is_local: bool) {
        match is_local {
            true => self.local.push(node),
            false => self.remote.push(node),
        }
    }

    pub(crate) fn on_sent(&mut self, expected: Duration) {
        let kept = self.baseline.run_time.mul_f64(1.0 - RUN_TIME_WEIGHT);
        self.baseline.run_time = kept + expected.mul_f64(RUN_TIME_WEIGHT);
    }

    pub(crate) fn remove(&mut self, node: NodeId) {
        self.local.retain(|it| *it != node);
        self.remote.retain(|it| *it != node);
        self.half_open.retain(|it| *it != node);
    }

    pub(crate) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.local.iter().chain(&self.remote).copied()
    }

    /// Picks the agents to compare for one request, at random.
    pub(crate) fn pick_candidates(&self, rng: &mut impl Rng) -> Vec<NodeId> {
        let local = self.local.sample(rng, MAX_CANDIDATES);
        local.chain(self.remote.sample(rng, MAX_CANDIDATES)).copied().collect()
    }
}
