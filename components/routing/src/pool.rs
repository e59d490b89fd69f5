//! Agents of a group.

use std::time::Duration;

use ident::{NodeId, Timestamp};
use rand::{Rng, seq::IndexedRandom};

use crate::health::UsualHealth;

/// Agents up to which all of them are compared, and sampled beyond, in the own
/// availability zone and outside of it.
const SAMPLE: usize = 8;

/// Weight of the newest request in the typical run time.
const TYPICAL_WEIGHT: f64 = 0.01;

/// What is usual in a group.
#[derive(Debug, Default)]
pub(crate) struct Usual {
    /// Mean expected run time of the requests sent lately.
    pub(crate) run_time: Duration,
    /// UsualHealth of the agents' health.
    pub(crate) health: UsualHealth,
}

/// Agents of a group, by whether they stand in the router's availability zone.
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

    pub(crate) fn sample(&self, rng: &mut impl Rng) -> Vec<NodeId> {
        let near = self.near.sample(rng, SAMPLE);
        near.chain(self.far.sample(rng, SAMPLE)).copied().collect()
    }
}
