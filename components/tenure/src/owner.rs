//! Replacement of a shard's deputy by its owner.

use std::{collections::BTreeSet, time::Duration};

use ident::{NodeId, Shard, Timestamp};
use register::Assignment;

use crate::{Tenure, assign::Plan};

/// Remaining time that a candidate's promise must have when it is appointed.
const MIN_CANDIDATE_TERM: Duration = Duration::from_millis(500);

/// Time for which the group must stay settled before a shard is left without a deputy.
const NO_DEPUTY_DELAY: Duration = Duration::from_secs(1);

impl Tenure {
    /// Deputies, and candidates for deputy, that this node needs promises from.
    pub(crate) fn promise_sources(&self, now: Timestamp) -> BTreeSet<NodeId> {
        if self.released.is_some() || !self.is_ready() {
            return BTreeSet::new();
        }
        let mut deputies: BTreeSet<NodeId> = self.by_deputy.keys().copied().flatten().collect();
        deputies.extend(self.proposals.deputies(self.node));
        let shards = self.shards_without_deputy(now);
        if !shards.is_empty() {
            let candidates = self.candidates(now);
            deputies.extend(
                shards
                    .into_iter()
                    .filter_map(|shard| self.choose_deputy(shard, self.node, &candidates)),
            );
        }
        deputies
    }

    /// Plans new deputies for shards whose deputy is unresponsive or has left.
    pub(crate) fn plan_deputies(&self, now: Timestamp) -> Vec<Plan> {
        let shards = self.shards_without_deputy(now);
        if shards.is_empty() {
            return Vec::new();
        }
        let candidates = self.candidates(now);
        let shards = shards.into_iter();
        shards.filter_map(|shard| self.plan_deputy(shard, &candidates, now)).collect()
    }

    /// Shards of this node that have no available deputy and need a proposal. Shards whose
    /// assignment names no deputy are included only while the group is settled.
    fn shards_without_deputy(&self, now: Timestamp) -> Vec<Shard> {
        let is_settled = self.presence.settled_for(now).is_some();
        let by_deputy = self.by_deputy.iter().filter(|(deputy, _)| match deputy {
            Some(deputy) => self.is_unavailable(*deputy, now),
            None => is_settled,
        });
        let shards = by_deputy.flat_map(|(_, shards)| shards).copied();
        shards.filter(|shard| self.needs_proposal(*shard, now)).collect()
    }

    /// Whether no proposal is pending for the shard or the latest names an unavailable deputy.
    fn needs_proposal(&self, shard: Shard, now: Timestamp) -> bool {
        let latest = self.proposals.of(shard).last().map(|it| it.assignment.deputy);
        match latest {
            Some(Some(deputy)) => self.is_unavailable(deputy, now),
            Some(None) => false,
            None => true,
        }
    }

    fn plan_deputy(&self, shard: Shard, candidates: &[NodeId], now: Timestamp) -> Option<Plan> {
        let current = self.view.get(shard)?;
        let deputy = self.choose_deputy(shard, self.node, candidates);
        let is_possible = match deputy {
            Some(candidate) => self.promises.received(candidate) > now + MIN_CANDIDATE_TERM,
            None => current.deputy.is_some() && self.may_drop_deputy(now),
        };
        let decided_before = self.decided_before(now);
        let assignment = Assignment {
            epoch: current.epoch + 1,
            deputy,
            grace: decided_before.max(current.from),
            ..*current
        };
        is_possible.then_some(Plan { shard, assignment, replaces: None })
    }

    fn candidates(&self, now: Timestamp) -> Vec<NodeId> {
        let others = self.presence.alive().filter(|node| *node != self.node);
        others.filter(|node| !self.is_unavailable(*node, now)).collect()
    }

    /// Whether a shard may be left without a deputy.
    fn may_drop_deputy(&self, now: Timestamp) -> bool {
        self.presence.settled_for(now).is_some_and(|settled| settled >= NO_DEPUTY_DELAY)
    }

    fn is_unavailable(&self, node: NodeId, now: Timestamp) -> bool {
        self.promises.is_unresponsive(node, now) || self.presence.has_left(node)
    }
}
