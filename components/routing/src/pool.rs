//! Agents of a group.

use ident::{NodeId, Timestamp};
use rand::{Rng, seq::IndexedRandom};

/// Agents up to which all of them are compared, and sampled beyond, in the own
/// availability zone and outside of it.
const SAMPLE: usize = 8;

/// Agents of a group, by whether they stand in the router's availability zone.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) near: Vec<NodeId>,
    pub(crate) far: Vec<NodeId>,
    pub(crate) probation: Vec<NodeId>,
    pub(crate) reviewed_at: Timestamp,
}

impl Pool {
    pub(crate) fn add(&mut self, node: NodeId, is_near: bool) {
        match is_near {
            true => self.near.push(node),
            false => self.far.push(node),
        }
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
