//! Applies a new shard table to the local state.

use ident::{Shard, Timestamp};
use mutation::{Mechanism, is_disabled};
use register::{Assignment, Table};

use crate::{
    PROMISE_TERM, Tenure,
    tenure::{OwnedShard, StandbyShard},
    view::{View, is_vacant},
};

impl Tenure {
    /// Replaces the table by a newer one and updates the state derived from it.
    pub(crate) fn apply_table(&mut self, table: &Table) {
        self.view = View::of(table, &self.group);
        for (shard, assignment) in table.group(&self.group.clone()) {
            self.apply_assignment(shard, assignment);
        }
        self.by_deputy.clear();
        for shard in self.owned_shards.keys() {
            let deputy = self.view.get(*shard).and_then(|it| it.deputy);
            self.by_deputy.entry(deputy).or_default().push(*shard);
        }
    }

    fn apply_assignment(&mut self, shard: Shard, assignment: &Assignment) {
        self.update_owned(shard, assignment);
        self.update_standby(shard, assignment);
        if self.handed_shards.get(&shard).is_some_and(|it| it.epoch < assignment.epoch) {
            self.handed_shards.remove(&shard);
        }
        self.proposals.settle(shard, assignment.epoch);
    }

    fn update_owned(&mut self, shard: Shard, assignment: &Assignment) {
        if assignment.owner != self.node || is_vacant(assignment) {
            self.owned_shards.remove(&shard);
            return;
        }
        let lower_fence = match self.owned_shards.get(&shard) {
            Some(previous) if previous.epoch == assignment.epoch => return,
            Some(previous)
                if previous.epoch + 1 == assignment.epoch && previous.from == assignment.from =>
            {
                previous.lower_fence
            }
            Some(_) | None if self.proposals.contains(shard, assignment) => assignment.from,
            Some(_) | None => self.lower_fence(assignment),
        };
        let owned = OwnedShard { epoch: assignment.epoch, from: assignment.from, lower_fence };
        self.owned_shards.insert(shard, owned);
    }

    /// Lower fence under an assignment that this incarnation did not make.
    fn lower_fence(&self, assignment: &Assignment) -> Timestamp {
        let restart = self.incarnation.0 + PROMISE_TERM + 2 * self.skew;
        let fence = match is_disabled(Mechanism::IncarnationFence) {
            false => assignment.from.max(restart),
            true => assignment.from,
        };
        match assignment.epoch {
            1 => fence,
            _ => fence.max(self.promises.latest_granted()),
        }
    }

    fn update_standby(&mut self, shard: Shard, assignment: &Assignment) {
        if assignment.deputy != Some(self.node) || assignment.owner == self.node {
            self.standby_shards.remove(&shard);
            return;
        }
        let is_unchanged =
            self.standby_shards.get(&shard).is_some_and(|it| it.epoch == assignment.epoch);
        if !is_unchanged {
            let standby = StandbyShard {
                epoch: assignment.epoch,
                owner: assignment.owner,
                offset: self.next_offset,
                acknowledged: false,
            };
            self.standby_shards.insert(shard, standby);
        }
    }
}
