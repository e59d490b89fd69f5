//! What the deputy of a shard does when its owner falls silent.

use std::time::Duration;

use ident::{Shard, Timestamp};
use register::Assignment;

use crate::{
    Tenure,
    assign::Plan,
    rendezvous,
    tenure::{Deputed, MICROSECOND},
};

/// Time after the last promise at which a deputy replaces an owner that
/// membership holds dead.
const DEAD_OWNER_DELAY: Duration = Duration::from_millis(100);

/// Time after the last promise at which a deputy replaces an owner that
/// membership holds alive, but that does not ask for promises.
const SILENT_OWNER_DELAY: Duration = Duration::from_secs(3);

impl Tenure {
    /// Shards to take over from owners that have stopped.
    pub(crate) fn plan_takeovers(&self, now: Timestamp) -> Vec<Plan> {
        if !self.presence.is_awake(now) {
            return Vec::new();
        }
        let free = self.deputed.iter().filter(|(shard, _)| self.proposals.of(**shard).is_empty());
        free.filter_map(|(shard, deputed)| self.plan_takeover(*shard, deputed, now)).collect()
    }

    fn plan_takeover(&self, shard: Shard, deputed: &Deputed, now: Timestamp) -> Option<Plan> {
        if !deputed.armed || self.accepted.contains_key(&shard) {
            return None;
        }
        let until = self.promises.given(deputed.owner)?.until;
        let delay = match self.presence.holds(deputed.owner) {
            true => SILENT_OWNER_DELAY,
            false => DEAD_OWNER_DELAY,
        };
        if now < until + delay {
            return None;
        }
        let present = self.table.get(&self.group, shard)?;
        let past = until + 2 * self.skew + MICROSECOND;
        let from = past.max(present.from).max(present.grace);
        let others = self.presence.alive().filter(|it| *it != self.node && *it != deputed.owner);
        let assignment = Assignment {
            epoch: present.epoch + 1,
            owner: self.node,
            deputy: rendezvous::choose(shard, others),
            from,
            grace: from,
        };
        Some(Plan { shard, assignment, replaces: Some(deputed.owner) })
    }
}
