//! Agents of a group.

use std::time::Duration;

use ident::{NodeId, Timestamp};
use rand::{Rng, seq::IndexedRandom};

use crate::health::UsualHealth;

/// Agents that are compared for a request in the router's own availability zone,
/// and as many in the other zones; larger groups are sampled.
const SAMPLE: usize = 8;

/// Weight of the newest request in the mean expected run time.
const TYPICAL_WEIGHT: f64 = 0.01;

/// Averages of a group, with which its agents are compared.
#[derive(Debug, Default)]
pub(crate) struct Usual {
    /// Moving average of the expected run times of requests sent to the group.
    pub(crate) run_time: Duration,
    /// Baseline of the agents' health.
    pub(crate) health: UsualHealth,
}

/// Agents of a group, divided into those of the router's availability zone and the
/// rest.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) near: Vec<NodeId>,
    pub(crate) far: Vec<NodeId>,
    pub(crate) probation: Vec<NodeId>,
    pub(crate) reviewed_at: Timestamp,
    pub(crate) usual: Usual,
}

impl Pool {
    pub(crate) fn add(&mut self, node: NodeId, is_near: bool) {
        match is_near {
            true => self.near.push(node),
            false => self.far.push(node),
        }
    }

    pub(crate) fn on_sent(&mut self, expected: Duration) {
        let kept = self.usual.run_time.mul_f64(1.0 - TYPICAL_WEIGHT);
        self.usual.run_time = kept + expected.mul_f64(TYPICAL_WEIGHT);
    }

    pub(crate) fn remove(&mut self, node: NodeId) {
        self.near.retain(|it| *it != node);
        self.far.retain(|it| *it != node);
        self.probation.retain(|it| *it != node);
    }

    pub(crate) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.near.iter().chain(&self.far).copied()
    }

    /// Agents to compare for one request.
    pub(crate) fn sample(&self, rng: &mut impl Rng) -> Vec<NodeId> {
        let near = self.near.sample(rng, SAMPLE);
        near.chain(self.far.sample(rng, SAMPLE)).copied().collect()
    }
}
