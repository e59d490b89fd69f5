//! A node's ownership state and the decision about an id.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use ident::{Group, Incarnation, NodeId, RequestId, Shard, Timestamp};
use mutation::{Mechanism, is_disabled};
use register::Table;
use wire::{Datagram, Promise};

use crate::{
    Action, Authority, PROMISE_TERM, TABLE_TERM, Transfer,
    hand_over::HandedShard,
    presence::Presence,
    promises::Promises,
    proposals::Proposals,
    view::{View, is_vacant},
};

/// Time between two refreshes of an outdated table.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Resolution of a [`Timestamp`].
pub(crate) const MICROSECOND: Duration = Duration::from_micros(1);

/// One node's view of the ownership of its group's shards.
#[derive(Debug)]
pub struct Tenure {
    pub(crate) node: NodeId,
    pub(crate) incarnation: Incarnation,
    pub(crate) group: Group,
    /// Largest clock skew set so far.
    pub(crate) skew: Duration,
    pub(crate) view: View,
    /// Log offset after the last record in the table.
    pub(crate) next_offset: u64,
    /// Start of the latest log read that the table reflects.
    pub(crate) read_at: Timestamp,
    /// Shards that the table assigns to this node.
    pub(crate) owned_shards: BTreeMap<Shard, OwnedShard>,
    /// The same shards, grouped by their deputy.
    pub(crate) by_deputy: BTreeMap<Option<NodeId>, Vec<Shard>>,
    /// Shards for which this node is the deputy.
    pub(crate) standby_shards: BTreeMap<Shard, StandbyShard>,
    /// Shards whose ledger this node has accepted, but that it does not own yet.
    pub(crate) handed_shards: BTreeMap<Shard, HandedShard>,
    pub(crate) promises: Promises,
    pub(crate) proposals: Proposals,
    pub(crate) presence: Presence,
    /// Availability zones by node.
    pub(crate) zones: HashMap<NodeId, String>,
    /// Set once this node has permanently released its shards.
    pub(crate) released: Option<Vec<Transfer>>,
    /// Earliest time of the next refresh.
    refresh_at: Timestamp,
    /// Whether a message has shown that another node has a newer table.
    is_outdated: bool,
}

/// A shard that this node owns.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnedShard {
    /// Epoch of the shard's assignment in the table.
    pub epoch: u64,
    /// [`Assignment::from`](register::Assignment::from) of that assignment.
    pub from: Timestamp,
    /// Lower fence: this node decides only for ids created at or after this time.
    pub lower_fence: Timestamp,
}

/// A shard for which this node is the deputy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StandbyShard {
    /// Epoch of the assignment.
    pub epoch: u64,
    /// Owner of the shard.
    pub owner: NodeId,
    /// An owner that has applied all records before this offset has applied the assignment.
    pub offset: u64,
    /// Whether the owner has requested a promise with a table that contains the
    /// assignment; required for a takeover.
    pub acknowledged: bool,
}

impl Tenure {
    /// Creates the state of a node that has just started.
    pub fn new(node: NodeId, incarnation: Incarnation, group: Group, skew: Duration) -> Tenure {
        Tenure {
            node,
            incarnation,
            group,
            skew,
            view: View::new(),
            next_offset: 0,
            read_at: Timestamp::ZERO,
            owned_shards: BTreeMap::new(),
            by_deputy: BTreeMap::new(),
            standby_shards: BTreeMap::new(),
            handed_shards: BTreeMap::new(),
            promises: Promises::default(),
            proposals: Proposals::default(),
            presence: Presence::new(incarnation.0),
            zones: HashMap::new(),
            released: None,
            refresh_at: incarnation.0,
            is_outdated: false,
        }
    }

    /// Raises the clock skew; lower values are ignored, since fences computed with
    /// the larger skew must stay valid for the life of the process.
    pub fn set_skew(&mut self, skew: Duration) {
        self.skew = self.skew.max(skew);
    }

    /// Sets a node's availability zone; an owner and its deputy are placed in
    /// different zones where possible, so that both are not lost together.
    pub fn set_zone(&mut self, node: NodeId, zone: &str) {
        if self.zones.get(&node).is_none_or(|current| current != zone) {
            self.zones.insert(node, zone.to_owned());
        }
    }

    /// Handles a table that was read from the log or fetched from a peer.
    ///
    /// `read_at` is the start of a log read that found no record at or after
    /// `next_offset`.
    pub fn on_state(
        &mut self,
        table: &Table,
        next_offset: u64,
        read_at: Timestamp,
        now: Timestamp,
    ) {
        if next_offset < self.next_offset {
            return;
        }
        self.read_at = self.read_at.max(read_at);
        if next_offset == self.next_offset {
            return;
        }
        self.next_offset = next_offset;
        self.apply_table(table);
        self.presence.set_expected(self.view.nodes(), now);
        self.promises.receive_deferred(next_offset);
        self.is_outdated = self.promises.has_deferred();
    }

    /// Handles a deputy's promise.
    pub fn on_promise(&mut self, promise: &Promise, _now: Timestamp) {
        if promise.owner_incarnation != self.incarnation {
            return;
        }
        self.promises.receive(*promise, self.next_offset);
        self.is_outdated |= promise.next_offset > self.next_offset;
    }

    /// Answers an owner's promise request.
    ///
    /// The promise binds this node even if its own table does not name it as
    /// deputy, so an owner may request one before it appoints the node.
    pub fn on_promise_request(
        &mut self,
        owner: NodeId,
        incarnation: Incarnation,
        next_offset: u64,
        now: Timestamp,
    ) -> Option<Promise> {
        self.is_outdated |= next_offset > self.next_offset;
        if owner == self.node || !self.is_ready() || self.may_replace(owner) {
            return None;
        }
        let until = self.promises.grant(owner, incarnation, now + PROMISE_TERM)?;
        for standby in self.standby_shards.values_mut().filter(|it| it.owner == owner) {
            standby.acknowledged |= next_offset >= standby.offset;
        }
        Some(Promise {
            deputy: self.node,
            incarnation: self.incarnation,
            owner_incarnation: incarnation,
            next_offset: self.next_offset,
            until,
        })
    }

    /// Checks whether this node may decide for the id.
    pub fn decide(&self, id: RequestId, now: Timestamp) -> Authority {
        let shard = Shard::of(id);
        let Some(owned) = self.owned_shard(shard) else {
            return match self.released.is_none() && self.handed_shards.contains_key(&shard) {
                true => Authority::PastHorizon,
                false => Authority::NotOwner { owner: self.owner(shard) },
            };
        };
        let created_at = id.created_at();
        if created_at > now + self.skew {
            return Authority::FromFuture;
        }
        if created_at < owned.lower_fence && !is_disabled(Mechanism::LowerFence) {
            return Authority::BeforeTenure;
        }
        match created_at < self.horizon(shard) || is_disabled(Mechanism::Horizon) {
            true => Authority::Owner,
            false => Authority::PastHorizon,
        }
    }

    /// Returns the actions that are due; `alive` are the agents of the group that
    /// membership considers alive, including this one.
    pub fn tick(&mut self, now: Timestamp, alive: &[NodeId]) -> Vec<Action> {
        self.presence.update(alive, now);

        let mut actions = Vec::new();
        for deputy in self.promise_sources(now) {
            if self.promises.request(deputy, now) {
                actions.push(Action::RequestPromise { deputy });
            }
        }
        let needs_table = self.propose(now, &mut actions);
        let is_stale = needs_table || self.is_outdated || !self.is_ready();
        if is_stale && now >= self.refresh_at {
            self.refresh_at = now + REFRESH_INTERVAL;
            actions.push(Action::Refresh);
        }
        actions
    }

    /// Shards for which this node decides ids that are created at `now`.
    pub fn owned(&self, now: Timestamp) -> Vec<Shard> {
        let shards = self.owned_shards.keys().copied();
        let is_in_range = |shard: &Shard| {
            let owned = self.owned_shard(*shard);
            owned.is_some_and(|it| it.lower_fence <= now && now < self.horizon(*shard))
        };
        shards.filter(is_in_range).collect()
    }

    /// Message that requests a promise from a deputy.
    pub fn promise_request(&self) -> Datagram {
        Datagram::PromiseRequest {
            owner: self.node,
            incarnation: self.incarnation,
            next_offset: self.next_offset,
        }
    }

    /// Owner of the shard according to the table and to hand-overs by or to this node;
    /// `None` if there is none.
    pub fn owner(&self, shard: Shard) -> Option<NodeId> {
        if self.handed_shards.contains_key(&shard) {
            return Some(self.node);
        }
        let assignment = self.view.get(shard)?;
        match self.released {
            Some(_) if assignment.owner == self.node => assignment.deputy,
            Some(_) | None => (!is_vacant(assignment)).then_some(assignment.owner),
        }
    }

    /// Whether the table reflects a log read that began after this node's start, even if
    /// the reader's clock is ahead by the skew.
    pub(crate) fn is_ready(&self) -> bool {
        self.read_at >= self.incarnation.0 + self.skew
    }

    /// Ownership of the shard; `None` if this node does not own it, is not ready or has
    /// released its shards.
    pub(crate) fn owned_shard(&self, shard: Shard) -> Option<&OwnedShard> {
        if self.released.is_some() || !self.is_ready() {
            return None;
        }
        self.owned_shards.get(&shard)
    }

    /// Horizon: the node decides only for ids created before this time.
    pub(crate) fn horizon(&self, shard: Shard) -> Timestamp {
        let deputy = self.view.get(shard).and_then(|it| it.deputy);
        let promised = deputy.map(|deputy| self.promises.received(deputy));
        let expiry = self.read_at + TABLE_TERM;
        promised.map_or(expiry, |promised| promised.min(expiry))
    }

    /// Exclusive upper bound on the creation times of all ids that any node has decided
    /// before `now`.
    pub(crate) fn decided_before(&self, now: Timestamp) -> Timestamp {
        now + 2 * self.skew + MICROSECOND
    }

    /// Whether the log may yet make this node the successor of `owner`: a proposal to
    /// replace it is pending, or a hand-over from it has been accepted.
    fn may_replace(&self, owner: NodeId) -> bool {
        self.proposals.replaces(owner) || self.handed_shards.values().any(|it| it.owner == owner)
    }
}
