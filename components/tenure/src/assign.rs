//! Plans the assignments that this node proposes in the log.

use std::time::Duration;

use ident::{NodeId, Shard, Timestamp};
use register::Assignment;

use crate::{Action, TABLE_TERM, Tenure, rendezvous, view::is_vacant};

/// Largest age of the table on which assignments are based.
const MAX_TABLE_AGE: Duration = Duration::from_secs(2);

/// Delay per rank, so that one node proposes first and the others see its records.
const RANK_DELAY: Duration = Duration::from_secs(2);

/// Highest rank that adds a delay.
const MAX_RANK: u32 = 5;

/// Time for which an owner without a usable deputy must be missing before its shards
/// are made vacant.
const ABANDON_DELAY: Duration = Duration::from_secs(10);

/// Time for which the group must stay settled before its first owners are chosen,
/// so that all agents that start together receive shards.
const INITIAL_SETTLE_TIME: Duration = Duration::from_secs(1);

/// The same while no other agent is alive.
const ALONE_SETTLE_TIME: Duration = Duration::from_secs(4);

/// An assignment to append.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub shard: Shard,
    pub assignment: Assignment,
    /// Owner that this node replaces, if the plan is a takeover or a hand-over.
    pub replaces: Option<NodeId>,
}

impl Tenure {
    /// Adds an action with the assignments that are due; returns true if none could be
    /// added because the table is too old.
    pub(crate) fn propose(&mut self, now: Timestamp, actions: &mut Vec<Action>) -> bool {
        if self.released.is_some() || !self.is_ready() {
            return false;
        }
        let plans = self.plans(now);
        if plans.is_empty() && !self.proposals.is_due(now) {
            return false;
        }
        if now > self.read_at + MAX_TABLE_AGE + self.skew {
            return true;
        }
        let mut shards = self.proposals.retry(now);
        shards.extend(self.add_proposals(plans, now));
        if !shards.is_empty() {
            actions.push(Action::Assign(shards));
        }
        false
    }

    /// Adds the plans to the proposals; returns the assignments that did not exceed the
    /// limit on pending ones.
    pub(crate) fn add_proposals(
        &mut self,
        plans: Vec<Plan>,
        now: Timestamp,
    ) -> Vec<(Shard, Assignment)> {
        let mut shards = Vec::new();
        for plan in plans {
            if self.proposals.add(plan.shard, plan.assignment, plan.replaces, now) {
                shards.push((plan.shard, plan.assignment));
            }
        }
        shards
    }

    /// Picks a deputy for the shard, preferably in another availability zone than the
    /// owner's.
    pub(crate) fn choose_deputy(
        &self,
        shard: Shard,
        owner: NodeId,
        nodes: &[NodeId],
    ) -> Option<NodeId> {
        let others = nodes.iter().copied().filter(|node| *node != owner);
        let zone = self.zones.get(&owner);
        let other_zone = others.clone().filter(|node| self.zones.get(node) != zone);
        rendezvous::choose(shard, other_zone).or_else(|| rendezvous::choose(shard, others))
    }

    fn plans(&self, now: Timestamp) -> Vec<Plan> {
        let mut plans = self.plan_deputies(now);
        plans.extend(self.plan_takeovers(now));
        plans.extend(self.plan_hand_overs(now));
        if self.is_turn(now) {
            plans.extend(self.plan_unassigned(now));
            plans.extend(self.plan_vacant(now));
            plans.extend(self.plan_abandoned(now));
        }
        plans
    }

    /// Whether the group has been settled for long enough that this node may propose
    /// owners, which takes [`RANK_DELAY`] per rank.
    fn is_turn(&self, now: Timestamp) -> bool {
        let rank = self.presence.rank(self.node).min(MAX_RANK);
        self.presence.settled_for(now).is_some_and(|settled| settled >= rank * RANK_DELAY)
    }

    /// Plans owners for shards that have never been assigned.
    fn plan_unassigned(&self, now: Timestamp) -> Vec<Plan> {
        let is_alone = self.presence.alive().count() < 2;
        let wait = if is_alone { ALONE_SETTLE_TIME } else { INITIAL_SETTLE_TIME };
        if self.presence.settled_for(now).is_none_or(|settled| settled < wait) {
            return Vec::new();
        }
        let eligible =
            self.view.unassigned().iter().filter(|it| self.proposals.of(**it).is_empty());
        eligible.filter_map(|shard| self.plan_owner(*shard, 1, now)).collect()
    }

    /// Plans owners for vacant shards. Their ranges start when every older table has
    /// expired.
    fn plan_vacant(&self, now: Timestamp) -> Vec<Plan> {
        let eligible = self.view.vacant().iter().filter(|it| self.proposals.of(**it).is_empty());
        let from = now + TABLE_TERM + self.skew;
        eligible
            .filter_map(|shard| {
                let current = self.view.get(*shard)?;
                self.plan_owner(*shard, current.epoch + 1, from)
            })
            .collect()
    }

    /// Makes shards vacant whose owner is missing and that no deputy can take over.
    fn plan_abandoned(&self, now: Timestamp) -> Vec<Plan> {
        let missing = self.presence.missing(ABANDON_DELAY, now);
        if missing.is_empty() {
            return Vec::new();
        }
        let abandoned = self.view.iter().filter(|(shard, current)| {
            missing.contains(&current.owner)
                && !is_vacant(current)
                && !self.has_successor(*shard, current, &missing)
                && self.proposals.of(*shard).is_empty()
        });
        abandoned.map(|(shard, current)| self.plan_vacancy(shard, current)).collect()
    }

    /// Plans an owner and a deputy for a shard, chosen among the nodes that are alive.
    fn plan_owner(&self, shard: Shard, epoch: u64, from: Timestamp) -> Option<Plan> {
        let owner = rendezvous::choose(shard, self.presence.alive())?;
        let nodes: Vec<NodeId> = self.presence.alive().collect();
        let deputy = self.choose_deputy(shard, owner, &nodes);
        let assignment = Assignment { epoch, owner, deputy, from, grace: from };
        Some(Plan { shard, assignment, replaces: None })
    }

    /// Plans the assignment under which no node decides for the shard.
    fn plan_vacancy(&self, shard: Shard, current: &Assignment) -> Plan {
        let assignment = Assignment {
            epoch: current.epoch + 1,
            owner: self.node,
            deputy: None,
            from: Timestamp::MAX,
            grace: Timestamp::MAX,
        };
        Plan { shard, assignment, replaces: None }
    }

    /// Whether the shard has a deputy that can take over.
    fn has_successor(&self, shard: Shard, current: &Assignment, missing: &[NodeId]) -> bool {
        match current.deputy {
            Some(deputy) if deputy == self.node => {
                self.standby_shards.get(&shard).is_some_and(|it| it.acknowledged)
            }
            Some(deputy) => !missing.contains(&deputy),
            None => false,
        }
    }
}
