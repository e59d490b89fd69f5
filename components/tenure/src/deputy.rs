//! Takeover by the deputy when a shard's owner stops requesting promises.

use std::time::Duration;

use ident::{NodeId, Shard, Timestamp};
use register::Assignment;

use crate::{Tenure, assign::Plan, tenure::MICROSECOND};

/// Time after the end of the last promise at which a deputy replaces an owner that
/// membership considers dead.
const DEAD_OWNER_DELAY: Duration = Duration::from_millis(100);

/// Time after the end of the last promise at which a deputy replaces an owner that
/// membership considers alive, but that requests no promises.
const UNRESPONSIVE_OWNER_DELAY: Duration = Duration::from_secs(3);

impl Tenure {
    /// Plans takeovers from owners whose promises have expired.
    pub(crate) fn plan_takeovers(&self, now: Timestamp) -> Vec<Plan> {
        if !self.presence.is_warmed_up(now) {
            return Vec::new();
        }
        let overdue = self.promises.owners().filter(|(owner, until)| {
            let delay = match self.presence.is_alive(*owner) {
                true => UNRESPONSIVE_OWNER_DELAY,
                false => DEAD_OWNER_DELAY,
            };
            now >= *until + delay
        });
        overdue.flat_map(|(owner, until)| self.plan_takeovers_from(owner, until)).collect()
    }

    fn plan_takeovers_from(&self, owner: NodeId, until: Timestamp) -> impl Iterator<Item = Plan> {
        let standby =
            self.standby_shards.iter().filter(move |(_, it)| it.owner == owner && it.acknowledged);
        let eligible = standby.filter(|(shard, _)| {
            self.proposals.of(**shard).is_empty() && !self.handed_shards.contains_key(shard)
        });
        eligible.filter_map(move |(shard, _)| self.plan_takeover(*shard, owner, until))
    }

    fn plan_takeover(&self, shard: Shard, owner: NodeId, until: Timestamp) -> Option<Plan> {
        let current = self.view.get(shard)?;
        let earliest = until + 2 * self.skew + MICROSECOND;
        let from = earliest.max(current.from).max(current.grace);
        let others: Vec<NodeId> = self.presence.alive().filter(|it| *it != owner).collect();
        let assignment = Assignment {
            epoch: current.epoch + 1,
            owner: self.node,
            deputy: self.choose_deputy(shard, self.node, &others),
            from,
            grace: from,
        };
        Some(Plan { shard, assignment, replaces: Some(owner) })
    }
}
