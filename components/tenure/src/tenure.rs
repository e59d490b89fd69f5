//! The state of a node's tenure and the decision about an id.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use ident::{Group, Incarnation, NodeId, RequestId, Shard, Timestamp};
use mutation::{Mechanism, is_disabled};
use register::Table;
use wire::{Datagram, Promise};

use crate::{
    Authority, Duty, PROMISE_TERM, TABLE_TERM, Transfer,
    hand_over::Handed,
    presence::Presence,
    promises::Promises,
    proposals::Proposals,
    view::{View, is_vacant},
};

/// Time between two requests to read the log.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Smallest step of a [`Timestamp`].
pub(crate) const MICROSECOND: Duration = Duration::from_micros(1);

/// What one node knows of the ownership of its group's shards.
#[derive(Debug)]
pub struct Tenure {
    pub(crate) node: NodeId,
    pub(crate) incarnation: Incarnation,
    pub(crate) group: Group,
    pub(crate) skew: Duration,
    pub(crate) view: View,
    pub(crate) next_offset: u64,
    pub(crate) read_at: Timestamp,
    /// Shards that this node owns according to its table.
    pub(crate) held: BTreeMap<Shard, Holding>,
    /// The same shards by their deputy.
    pub(crate) wards: BTreeMap<Option<NodeId>, Vec<Shard>>,
    /// Shards of which this node is the deputy.
    pub(crate) deputed: BTreeMap<Shard, Deputed>,
    /// Shards whose ledger this node has accepted and does not own yet.
    pub(crate) accepted: BTreeMap<Shard, Handed>,
    pub(crate) promises: Promises,
    pub(crate) proposals: Proposals,
    pub(crate) presence: Presence,
    /// Availability zones of the nodes that are known.
    pub(crate) zones: HashMap<NodeId, String>,
    /// Set once this node has given up its shards for good.
    pub(crate) released: Option<Vec<Transfer>>,
    refresh_at: Timestamp,
    is_behind: bool,
}

/// Tenure of a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Holding {
    /// Epoch of the assignment that was seen last.
    pub epoch: u64,
    /// `from` of that assignment.
    pub from: Timestamp,
    /// This node decides only for ids made at or after this time.
    pub lower: Timestamp,
}

/// Deputyship of a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deputed {
    /// Epoch of the assignment.
    pub epoch: u64,
    /// Owner of the shard.
    pub owner: NodeId,
    /// An owner with all records before this offset knows the assignment.
    pub offset: u64,
    /// Whether the owner has shown that it knows the assignment.
    pub armed: bool,
}

impl Tenure {
    /// Creates the tenure of a node that has just started.
    pub fn new(node: NodeId, incarnation: Incarnation, group: Group, skew: Duration) -> Tenure {
        Tenure {
            node,
            incarnation,
            group,
            skew,
            view: View::new(),
            next_offset: 0,
            read_at: Timestamp::ZERO,
            held: BTreeMap::new(),
            wards: BTreeMap::new(),
            deputed: BTreeMap::new(),
            accepted: BTreeMap::new(),
            promises: Promises::default(),
            proposals: Proposals::default(),
            presence: Presence::new(incarnation.0),
            zones: HashMap::new(),
            released: None,
            refresh_at: incarnation.0,
            is_behind: false,
        }
    }

    /// Sets the largest difference between two clocks; it never shrinks in the
    /// life of a process, so that fences stay valid that rest on the larger one.
    pub fn set_skew(&mut self, skew: Duration) {
        self.skew = self.skew.max(skew);
    }

    /// Tells in which availability zone a node stands, so that an owner and its deputy
    /// are not lost together.
    pub fn set_zone(&mut self, node: NodeId, zone: &str) {
        if self.zones.get(&node).is_none_or(|known| known != zone) {
            self.zones.insert(node, zone.to_owned());
        }
    }

    /// Takes a table, as read from the log or from a peer.
    ///
    /// `read_at` is the start of a log read that showed no record from
    /// `next_offset` on.
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
        self.learn_table(table);
        self.presence.expect(self.view.nodes(), now);
        self.promises.count_early(next_offset);
        self.is_behind = self.promises.has_early();
    }

    /// Takes a deputy's promise.
    pub fn on_promise(&mut self, promise: &Promise, _now: Timestamp) {
        if promise.to != self.incarnation {
            return;
        }
        self.promises.receive(*promise, self.next_offset);
        self.is_behind |= promise.next_offset > self.next_offset;
    }

    /// Answers an owner that asks this node for a promise.
    ///
    /// The promise binds this node whatever its part is in its own table, so an
    /// owner may ask a node before it appoints it.
    pub fn on_promise_request(
        &mut self,
        owner: NodeId,
        incarnation: Incarnation,
        next_offset: u64,
        now: Timestamp,
    ) -> Option<Promise> {
        self.is_behind |= next_offset > self.next_offset;
        if owner == self.node || !self.is_ready() || self.intends_to_replace(owner) {
            return None;
        }
        let until = self.promises.give(owner, incarnation, now + PROMISE_TERM)?;
        for deputed in self.deputed.values_mut().filter(|it| it.owner == owner) {
            deputed.armed |= next_offset >= deputed.offset;
        }
        Some(Promise {
            deputy: self.node,
            incarnation: self.incarnation,
            to: incarnation,
            next_offset: self.next_offset,
            until,
        })
    }

    /// Whether this node decides if the id may start.
    pub fn decide(&self, id: RequestId, now: Timestamp) -> Authority {
        let shard = Shard::of(id);
        let Some(holding) = self.holding(shard) else {
            return match self.released.is_none() && self.accepted.contains_key(&shard) {
                true => Authority::PastHorizon,
                false => Authority::NotOwner { owner: self.owner(shard) },
            };
        };
        let made_at = id.made_at();
        if made_at > now + self.skew {
            return Authority::FromFuture;
        }
        if made_at < holding.lower && !is_disabled(Mechanism::LowerFence) {
            return Authority::BeforeTenure;
        }
        match made_at < self.horizon(shard) || is_disabled(Mechanism::Horizon) {
            true => Authority::Owner,
            false => Authority::PastHorizon,
        }
    }

    /// What the node must do now; `alive` are the agents of the group that
    /// membership holds alive, this one included.
    pub fn tick(&mut self, now: Timestamp, alive: &[NodeId]) -> Vec<Duty> {
        self.presence.update(alive, now);

        let mut duties = Vec::new();
        for deputy in self.deputies(now) {
            if self.promises.ask(deputy, now) {
                duties.push(Duty::AskPromise { deputy });
            }
        }
        let is_blocked = self.propose(now, &mut duties);
        let is_old = is_blocked || self.is_behind || !self.is_ready();
        if is_old && now >= self.refresh_at {
            self.refresh_at = now + REFRESH_INTERVAL;
            duties.push(Duty::Refresh);
        }
        duties
    }

    /// Shards for whose new ids this node decides at present.
    pub fn owned(&self, now: Timestamp) -> Vec<Shard> {
        let held = self.held.keys().copied();
        held.filter(|shard| {
            let holding = self.holding(*shard);
            holding.is_some_and(|it| it.lower <= now && now < self.horizon(*shard))
        })
        .collect()
    }

    /// The message that asks a deputy for a promise.
    pub fn promise_request(&self) -> Datagram {
        Datagram::PromiseRequest {
            owner: self.node,
            incarnation: self.incarnation,
            next_offset: self.next_offset,
        }
    }

    /// Node that decides for the shard, as far as is known.
    pub fn owner(&self, shard: Shard) -> Option<NodeId> {
        if self.accepted.contains_key(&shard) {
            return Some(self.node);
        }
        let assignment = self.view.get(shard)?;
        match self.released {
            Some(_) if assignment.owner == self.node => assignment.deputy,
            Some(_) | None => (!is_vacant(assignment)).then_some(assignment.owner),
        }
    }

    /// Whether a log read that began after this node's start has been seen; the
    /// reader's clock may be ahead of this node's.
    pub(crate) fn is_ready(&self) -> bool {
        self.read_at >= self.incarnation.0 + self.skew
    }

    /// Tenure of the shard, if this node may decide at all.
    pub(crate) fn holding(&self, shard: Shard) -> Option<&Holding> {
        if self.released.is_some() || !self.is_ready() {
            return None;
        }
        self.held.get(&shard)
    }

    /// The node decides only for ids made before this time.
    pub(crate) fn horizon(&self, shard: Shard) -> Timestamp {
        let deputy = self.view.get(shard).and_then(|it| it.deputy);
        let promised = deputy.map(|deputy| self.promises.received(deputy));
        let trusted = self.read_at + TABLE_TERM;
        promised.map_or(trusted, |promised| promised.min(trusted))
    }

    /// No id that was decided anywhere before now was made at or after this time.
    pub(crate) fn past_all_decided(&self, now: Timestamp) -> Timestamp {
        now + 2 * self.skew + MICROSECOND
    }

    /// Whether the log may come to hold this node as successor of `owner`.
    fn intends_to_replace(&self, owner: NodeId) -> bool {
        self.proposals.replaces(owner) || self.accepted.values().any(|it| it.owner == owner)
    }
}
