//! What a new table changes for this node.

use ident::{Shard, Timestamp};
use mutation::{Mechanism, is_disabled};
use register::{Assignment, Table};

use crate::{
    PROMISE_TERM, Tenure,
    tenure::{Deputed, Holding},
    view::{View, is_vacant},
};

impl Tenure {
    /// Takes a table that is newer than the present one.
    pub(crate) fn learn_table(&mut self, table: &Table) {
        self.view = View::of(table, &self.group);
        for (shard, assignment) in table.group(&self.group.clone()) {
            self.learn(shard, assignment);
        }
        self.wards.clear();
        for shard in self.held.keys() {
            let deputy = self.view.get(*shard).and_then(|it| it.deputy);
            self.wards.entry(deputy).or_default().push(*shard);
        }
    }

    fn learn(&mut self, shard: Shard, assignment: &Assignment) {
        self.learn_ownership(shard, assignment);
        self.learn_deputyship(shard, assignment);
        if self.accepted.get(&shard).is_some_and(|it| it.epoch < assignment.epoch) {
            self.accepted.remove(&shard);
        }
        self.proposals.settle(shard, assignment.epoch);
    }

    fn learn_ownership(&mut self, shard: Shard, assignment: &Assignment) {
        if assignment.owner != self.node || is_vacant(assignment) {
            self.held.remove(&shard);
            return;
        }
        let lower = match self.held.get(&shard) {
            Some(known) if known.epoch == assignment.epoch => return,
            Some(known) if known.epoch + 1 == assignment.epoch && known.from == assignment.from => {
                known.lower
            }
            Some(_) | None if self.proposals.contains(shard, assignment) => assignment.from,
            Some(_) | None => self.fence(assignment),
        };
        let holding = Holding { epoch: assignment.epoch, from: assignment.from, lower };
        self.held.insert(shard, holding);
    }

    /// Lower fence under an assignment that this start of the node did not make.
    fn fence(&self, assignment: &Assignment) -> Timestamp {
        let restart = self.incarnation.0 + PROMISE_TERM + 2 * self.skew;
        let fence = match is_disabled(Mechanism::IncarnationFence) {
            false => assignment.from.max(restart),
            true => assignment.from,
        };
        match assignment.epoch {
            1 => fence,
            _ => fence.max(self.promises.latest_given()),
        }
    }

    fn learn_deputyship(&mut self, shard: Shard, assignment: &Assignment) {
        if assignment.deputy != Some(self.node) || assignment.owner == self.node {
            self.deputed.remove(&shard);
            return;
        }
        let known = self.deputed.get(&shard).is_some_and(|it| it.epoch == assignment.epoch);
        if !known {
            let deputed = Deputed {
                epoch: assignment.epoch,
                owner: assignment.owner,
                offset: self.next_offset,
                armed: false,
            };
            self.deputed.insert(shard, deputed);
        }
    }
}
