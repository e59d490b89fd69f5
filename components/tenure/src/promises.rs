//! Promises granted to owners and received from deputies.

use std::{collections::HashMap, time::Duration};

use ident::{Incarnation, NodeId, Timestamp};
use wire::Promise;

use crate::PROMISE_INTERVAL;

/// Consecutive unanswered requests after which a deputy counts as unresponsive.
const SILENT_REQUESTS: u32 = 3;

/// Time that a deputy has to answer the last of these requests.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Promises of this incarnation, in both directions.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    given: HashMap<NodeId, Given>,
    received: HashMap<NodeId, Received>,
    /// Promises that are based on a newer table than this node's, by deputy.
    early: HashMap<NodeId, Promise>,
    asked: HashMap<NodeId, Asked>,
}

/// Latest promise of a deputy.
#[derive(Debug, Clone, Copy)]
struct Received {
    /// Latest incarnation of the deputy that answered.
    incarnation: Incarnation,
    until: Timestamp,
}

/// Promise requests that a node has not answered.
#[derive(Debug, Clone, Copy)]
struct Asked {
    unanswered: u32,
    at: Timestamp,
}

/// Latest promise to an owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Given {
    /// Latest incarnation of the owner that requested a promise.
    pub incarnation: Incarnation,
    /// Latest time that was promised to any of its incarnations.
    pub until: Timestamp,
}

impl Promises {
    /// Extends the promise to `owner`; refuses incarnations of it that have ended.
    pub(crate) fn give(
        &mut self,
        owner: NodeId,
        incarnation: Incarnation,
        until: Timestamp,
    ) -> Option<Timestamp> {
        let given = self.given.entry(owner).or_insert(Given { incarnation, until });
        if incarnation < given.incarnation {
            return None;
        }
        given.incarnation = incarnation;
        given.until = given.until.max(until);
        Some(given.until)
    }

    /// Latest promise to `owner`.
    pub(crate) fn given(&self, owner: NodeId) -> Option<Given> {
        self.given.get(&owner).copied()
    }

    /// Owners, each with the time up to which this node has promised.
    pub(crate) fn owners(&self) -> impl Iterator<Item = (NodeId, Timestamp)> {
        self.given.iter().map(|(owner, given)| (*owner, given.until))
    }

    /// Latest time that was promised to any owner.
    pub(crate) fn latest_given(&self) -> Timestamp {
        self.given.values().map(|given| given.until).max().unwrap_or_default()
    }

    /// Records a promise; it counts once this node's table is as new as the deputy's.
    pub(crate) fn receive(&mut self, promise: Promise, next_offset: u64) {
        if let Some(asked) = self.asked.get_mut(&promise.deputy) {
            asked.unanswered = 0;
        }
        if promise.next_offset > next_offset {
            self.early.insert(promise.deputy, promise);
            return;
        }
        let Promise { incarnation, until, .. } = promise;
        let received =
            self.received.entry(promise.deputy).or_insert(Received { incarnation, until });
        received.incarnation = received.incarnation.max(incarnation);
        received.until = received.until.max(until);
    }

    /// Records the deferred promises that a table up to `next_offset` covers.
    pub(crate) fn count_early(&mut self, next_offset: u64) {
        let ripe: Vec<Promise> = self
            .early
            .extract_if(|_, promise| promise.next_offset <= next_offset)
            .map(|(_, promise)| promise)
            .collect();
        for promise in ripe {
            self.receive(promise, next_offset);
        }
    }

    /// Whether a deputy has a newer table than this node.
    pub(crate) fn has_early(&self) -> bool {
        !self.early.is_empty()
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
    pub(crate) fn ask(&mut self, deputy: NodeId, now: Timestamp) -> bool {
        let asked =
            self.asked.entry(deputy).or_insert(Asked { unanswered: 0, at: Timestamp::ZERO });
        if now < asked.at + PROMISE_INTERVAL {
            return false;
        }
        asked.unanswered += 1;
        asked.at = now;
        true
    }

    /// Whether `node` has not answered the last requests.
    pub(crate) fn is_silent(&self, node: NodeId, now: Timestamp) -> bool {
        let asked = self.asked.get(&node);
        asked.is_some_and(|it| it.unanswered >= SILENT_REQUESTS && now >= it.at + ANSWER_TIME)
    }
}
