//! Promises given to owners and received from deputies.

use std::{collections::HashMap, time::Duration};

use ident::{Incarnation, NodeId, Timestamp};
use wire::Promise;

use crate::PROMISE_INTERVAL;

/// Requests without an answer after which a deputy counts as silent.
const SILENT_REQUESTS: u32 = 3;

/// Time that a deputy has to answer a request.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Promises of this start of the node, in both directions.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    given: HashMap<NodeId, Given>,
    received: HashMap<NodeId, Received>,
    /// Promises that rest on a newer table than this node's.
    early: HashMap<NodeId, Promise>,
    asked: HashMap<NodeId, Asked>,
}

/// What a deputy has promised.
#[derive(Debug, Clone, Copy)]
struct Received {
    /// Latest start of the deputy that answered.
    incarnation: Incarnation,
    until: Timestamp,
}

/// Requests for a promise that a node has not answered.
#[derive(Debug, Clone, Copy)]
struct Asked {
    unanswered: u32,
    at: Timestamp,
}

/// What was promised to an owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Given {
    /// Latest start of the owner that asked.
    pub incarnation: Incarnation,
    /// Latest time that was promised to any of its starts.
    pub until: Timestamp,
}

impl Promises {
    /// Notes a promise to `owner`; refuses starts of it that have ended.
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

    /// What was promised to `owner`.
    pub(crate) fn given(&self, owner: NodeId) -> Option<Given> {
        self.given.get(&owner).copied()
    }

    /// Owners with the times that were promised to them.
    pub(crate) fn owners(&self) -> impl Iterator<Item = (NodeId, Timestamp)> {
        self.given.iter().map(|(owner, given)| (*owner, given.until))
    }

    /// Latest time promised to anyone.
    pub(crate) fn latest_given(&self) -> Timestamp {
        self.given.values().map(|given| given.until).max().unwrap_or_default()
    }

    /// Takes a promise; it counts once this node's table is as new as the deputy's.
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

    /// Counts the promises that waited for this node's table.
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

    /// The time up to which `deputy` has promised.
    pub(crate) fn received(&self, deputy: NodeId) -> Timestamp {
        self.received.get(&deputy).map(|it| it.until).unwrap_or_default()
    }

    /// The latest start of `deputy` that has promised something.
    pub(crate) fn incarnation(&self, deputy: NodeId) -> Option<Incarnation> {
        self.received.get(&deputy).map(|it| it.incarnation)
    }

    /// Notes that `deputy` is asked now, if it is time to do so.
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

    /// Whether `node` has left the last requests unanswered.
    pub(crate) fn is_silent(&self, node: NodeId, now: Timestamp) -> bool {
        let asked = self.asked.get(&node);
        asked.is_some_and(|it| it.unanswered >= SILENT_REQUESTS && now >= it.at + ANSWER_TIME)
    }
}
