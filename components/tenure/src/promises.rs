//! Promises granted to owners and received from deputies.

use std::{collections::HashMap, time::Duration};

use ident::{Incarnation, NodeId, Timestamp};
use wire::Promise;

use crate::PROMISE_INTERVAL;

/// Consecutive unanswered requests after which a deputy counts as unresponsive.
const MAX_UNANSWERED: u32 = 3;

/// Time that a deputy has to answer the last of these requests.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Promises of this incarnation, in both directions.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    granted: HashMap<NodeId, Granted>,
    received: HashMap<NodeId, Received>,
    /// Promises that are based on a newer table than this node's, by deputy.
    deferred: HashMap<NodeId, Promise>,
    requested: HashMap<NodeId, Requested>,
}

/// Latest promise of a deputy.
#[derive(Debug, Clone, Copy)]
struct Received {
    /// Latest incarnation of the deputy that answered.
    incarnation: Incarnation,
    /// Latest time that any of its incarnations has promised.
    until: Timestamp,
}

/// Promise requests that a node has not answered.
#[derive(Debug, Clone, Copy)]
struct Requested {
    /// Requests since the last promise.
    unanswered: u32,
    /// Time of the last request.
    at: Timestamp,
}

/// Latest promise to an owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Granted {
    /// Latest incarnation of the owner that requested a promise.
    pub incarnation: Incarnation,
    /// Latest time that was promised to any of its incarnations.
    pub until: Timestamp,
}

impl Promises {
    /// Extends the promise to `owner`; `None` if a later incarnation of it has requested one.
    pub(crate) fn grant(
        &mut self,
        owner: NodeId,
        incarnation: Incarnation,
        until: Timestamp,
    ) -> Option<Timestamp> {
        let granted = self.granted.entry(owner).or_insert(Granted { incarnation, until });
        if incarnation < granted.incarnation {
            return None;
        }
        granted.incarnation = incarnation;
        granted.until = granted.until.max(until);
        Some(granted.until)
    }

    /// Latest promise to `owner`.
    pub(crate) fn granted(&self, owner: NodeId) -> Option<Granted> {
        self.granted.get(&owner).copied()
    }

    /// Owners, each with the time up to which this node has promised.
    pub(crate) fn owners(&self) -> impl Iterator<Item = (NodeId, Timestamp)> {
        self.granted.iter().map(|(owner, granted)| (*owner, granted.until))
    }

    /// Latest time that was promised to any owner.
    pub(crate) fn latest_granted(&self) -> Timestamp {
        self.granted.values().map(|granted| granted.until).max().unwrap_or_default()
    }

    /// Records a promise; it counts once this node's table is as new as the deputy's.
    pub(crate) fn receive(&mut self, promise: Promise, next_offset: u64) {
        if let Some(requested) = self.requested.get_mut(&promise.deputy) {
            requested.unanswered = 0;
        }
        if promise.next_offset > next_offset {
            self.deferred.insert(promise.deputy, promise);
            return;
        }
        let Promise { incarnation, until, .. } = promise;
        let received =
            self.received.entry(promise.deputy).or_insert(Received { incarnation, until });
        received.incarnation = received.incarnation.max(incarnation);
        received.until = received.until.max(until);
    }

    /// Records the deferred promises that a table up to `next_offset` covers.
    pub(crate) fn receive_deferred(&mut self, next_offset: u64) {
        let ready: Vec<Promise> = self
            .deferred
            .extract_if(|_, promise| promise.next_offset <= next_offset)
            .map(|(_, promise)| promise)
            .collect();
        for promise in ready {
            self.receive(promise, next_offset);
        }
    }

    /// Whether a promise waits for a newer table.
    pub(crate) fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Time up to which `deputy` has promised.
    pub(crate) fn received(&self, deputy: NodeId) -> Timestamp {
        self.received.get(&deputy).map(|it| it.until).unwrap_or_default()
    }

    /// Latest incarnation of `deputy` that has made a promise.
    pub(crate) fn incarnation(&self, deputy: NodeId) -> Option<Incarnation> {
        self.received.get(&deputy).map(|it| it.incarnation)
    }

    /// Records a request to `deputy`; returns false if the last one was too recent.
    pub(crate) fn request(&mut self, deputy: NodeId, now: Timestamp) -> bool {
        let requested = self
            .requested
            .entry(deputy)
            .or_insert(Requested { unanswered: 0, at: Timestamp::ZERO });
        if now < requested.at + PROMISE_INTERVAL {
            return false;
        }
        requested.unanswered += 1;
        requested.at = now;
        true
    }

    /// Whether `node` left the last [`MAX_UNANSWERED`] requests unanswered.
    pub(crate) fn is_unresponsive(&self, node: NodeId, now: Timestamp) -> bool {
        let requested = self.requested.get(&node);
        requested.is_some_and(|it| it.unanswered >= MAX_UNANSWERED && now >= it.at + ANSWER_TIMEOUT)
    }
}
