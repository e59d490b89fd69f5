//! The state of one entry in a node's view.

use std::time::Duration;

use ident::{Incarnation, NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// Time since the last message or mention of an unresponsive entry after which a new mention
/// makes it eligible for heartbeats again.
const RETRY_AFTER: Duration = Duration::from_secs(10);

/// An entry in this node's view.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Address of the entry.
    pub node: NodeId,
    /// Latest known incarnation.
    pub incarnation: Incarnation,
    /// Availability zone, empty while unknown.
    pub zone: String,
    /// First log offset that it had not applied as of its last message.
    pub next_offset: u64,
    /// Time of its last message; `None` if there was none or the entry has timed out.
    pub heard_at: Option<Timestamp>,
    /// Time at which another entry last mentioned it or a message from it arrived.
    pub(crate) listed_at: Timestamp,
    /// Heartbeats sent to it since its last message.
    pub(crate) unanswered: u32,
    /// Rendezvous hash of this node and the entry; lower ranks are preferred.
    pub(crate) rank: u64,
    /// Whether it is a configured seed; seeds are never removed.
    pub(crate) seed: bool,
}

impl Peer {
    pub(crate) fn new(node: NodeId, local: NodeId, now: Timestamp) -> Peer {
        Peer {
            node,
            incarnation: Incarnation::default(),
            zone: String::new(),
            next_offset: 0,
            heard_at: None,
            listed_at: now,
            unanswered: 0,
            rank: xxh3_64(format!("{local} {node}").as_bytes()),
            seed: false,
        }
    }

    pub(crate) fn on_message(&mut self, next_offset: u64, now: Timestamp) {
        self.heard_at = Some(now);
        self.listed_at = now;
        self.unanswered = 0;
        self.next_offset = self.next_offset.max(next_offset);
    }

    /// Records that another entry has heard from it.
    pub(crate) fn on_listed(&mut self, now: Timestamp) {
        let waited = now.since(self.listed_at);
        self.listed_at = now;
        if waited >= RETRY_AFTER {
            self.unanswered = 0;
        }
    }

    /// Time of its last message or mention, whichever is later.
    pub(crate) fn seen_at(&self) -> Timestamp {
        self.heard_at.unwrap_or_default().max(self.listed_at)
    }
}
