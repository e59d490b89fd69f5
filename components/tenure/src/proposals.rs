//! Assignments that this node has appended but not read back, so that they may or may
//! not be in the log.

use std::{collections::BTreeMap, time::Duration};

use ident::{NodeId, Shard, Timestamp};
use register::Assignment;

/// Time after which an append that has not been read back is first retried.
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Longest time between two retries of an append.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(32);

/// Largest number of pending assignments for one shard.
const MAX_PENDING: usize = 4;

/// Proposals by shard; all are for the epoch after the current one.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    by_shard: BTreeMap<Shard, Vec<Proposal>>,
}

/// An assignment that was appended and has not been read back from the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Proposal {
    /// Assignment in the appended record.
    pub assignment: Assignment,
    /// Owner that it replaces, if the proposal is a takeover or a hand-over.
    pub replaces: Option<NodeId>,
    retry_at: Timestamp,
    retry_delay: Duration,
}

impl Proposals {
    /// Adds an assignment that is appended now; returns false if too many are pending.
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
            retry_at: now + INITIAL_RETRY_DELAY,
            retry_delay: INITIAL_RETRY_DELAY,
        });
        true
    }

    /// Proposals for the shard, oldest first.
    pub(crate) fn of(&self, shard: Shard) -> &[Proposal] {
        self.by_shard.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// Whether this node has proposed exactly this assignment.
    pub(crate) fn contains(&self, shard: Shard, assignment: &Assignment) -> bool {
        self.of(shard).iter().any(|it| it.assignment == *assignment)
    }

    /// Whether a proposal, which may already be in the log, replaces `owner`.
    pub(crate) fn replaces(&self, owner: NodeId) -> bool {
        self.by_shard.values().flatten().any(|it| it.replaces == Some(owner))
    }

    /// Drops the proposals for epochs up to `epoch`, which the log has decided.
    pub(crate) fn settle(&mut self, shard: Shard, epoch: u64) {
        if let Some(pending) = self.by_shard.get_mut(&shard) {
            pending.retain(|it| it.assignment.epoch > epoch);
            if pending.is_empty() {
                self.by_shard.remove(&shard);
            }
        }
    }

    /// Deputies named in the proposals that name `owner` as owner.
    pub(crate) fn deputies(&self, owner: NodeId) -> impl Iterator<Item = NodeId> {
        let pending = self.by_shard.values().flatten().map(|it| &it.assignment);
        pending.filter(move |it| it.owner == owner).filter_map(|it| it.deputy)
    }

    /// Whether any append must be retried now.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.by_shard.values().flatten().any(|it| it.retry_at <= now)
    }

    /// Assignments whose append must be retried now; doubles their retry delays.
    pub(crate) fn retry(&mut self, now: Timestamp) -> Vec<(Shard, Assignment)> {
        let mut due = Vec::new();
        for (shard, pending) in &mut self.by_shard {
            for proposal in pending.iter_mut().filter(|it| it.retry_at <= now) {
                proposal.retry_delay = MAX_RETRY_DELAY.min(proposal.retry_delay * 2);
                proposal.retry_at = now + proposal.retry_delay;
                due.push((*shard, proposal.assignment));
            }
        }
        due
    }
}
