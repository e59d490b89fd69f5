//! Assignments of this node that may or may not be in the log.

use std::{collections::BTreeMap, time::Duration};

use ident::{NodeId, Shard, Timestamp};
use register::Assignment;

/// Time after which an append that shows no effect is repeated.
const FIRST_REPEAT: Duration = Duration::from_secs(2);

/// Longest time between two repeats of an append.
const MAX_REPEAT: Duration = Duration::from_secs(32);

/// Different assignments that may be pending for one shard.
const MAX_PENDING: usize = 4;

/// Proposals by shard; all are for the epoch after the present one.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    by_shard: BTreeMap<Shard, Vec<Proposal>>,
}

/// An assignment that was appended and has not been seen in the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Proposal {
    /// What was appended.
    pub assignment: Assignment,
    /// Owner that it replaces, if it does.
    pub replaces: Option<NodeId>,
    repeat_at: Timestamp,
    repeat_after: Duration,
}

impl Proposals {
    /// Notes that `assignment` is appended now; false if too many are pending.
    pub(crate) fn add(
        &mut self,
        shard: Shard,
        assignment: Assignment,
        replaces: Option<NodeId>,
        now: Timestamp,
    ) -> bool {
        let pending = self.by_shard.entry(shard).or_default();
        if pending.len() >= MAX_PENDING {
            return false;
        }
        pending.push(Proposal {
            assignment,
            replaces,
            repeat_at: now + FIRST_REPEAT,
            repeat_after: FIRST_REPEAT,
        });
        true
    }

    /// Proposals for the shard, in the order in which they were made.
    pub(crate) fn of(&self, shard: Shard) -> &[Proposal] {
        self.by_shard.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// Whether this node has made exactly this assignment.
    pub(crate) fn contains(&self, shard: Shard, assignment: &Assignment) -> bool {
        self.of(shard).iter().any(|it| it.assignment == *assignment)
    }

    /// Whether the log may hold an assignment that replaces `owner`.
    pub(crate) fn replaces(&self, owner: NodeId) -> bool {
        self.by_shard.values().flatten().any(|it| it.replaces == Some(owner))
    }

    /// Forgets the proposals that the log has decided about.
    pub(crate) fn settle(&mut self, shard: Shard, epoch: u64) {
        if let Some(pending) = self.by_shard.get_mut(&shard) {
            pending.retain(|it| it.assignment.epoch > epoch);
            if pending.is_empty() {
                self.by_shard.remove(&shard);
            }
        }
    }

    /// Deputies in the proposals that make `owner` the owner.
    pub(crate) fn deputies(&self, owner: NodeId) -> impl Iterator<Item = NodeId> {
        let pending = self.by_shard.values().flatten().map(|it| &it.assignment);
        pending.filter(move |it| it.owner == owner).filter_map(|it| it.deputy)
    }

    /// Whether a proposal must be appended again now.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.by_shard.values().flatten().any(|it| it.repeat_at <= now)
    }

    /// Proposals that must be appended again now.
    pub(crate) fn repeat(&mut self, now: Timestamp) -> Vec<(Shard, Assignment)> {
        let mut due = Vec::new();
        for (shard, pending) in &mut self.by_shard {
            for proposal in pending.iter_mut().filter(|it| it.repeat_at <= now) {
                proposal.repeat_after = MAX_REPEAT.min(proposal.repeat_after * 2);
                proposal.repeat_at = now + proposal.repeat_after;
                due.push((*shard, proposal.assignment));
            }
        }
        due
    }
}
