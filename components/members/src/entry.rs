//! The state of one entry in a node's view.

use std::time::Duration;

use ident::{Incarnation, NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// Time since an entry last sent a message or was listed by another entry, after which a new
/// listing makes it eligible for heartbeats again even if it has not answered.
const RETRY_AFTER: Duration = Duration::from_secs(10);

/// An entry in this node's view.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Address of the entry.
    pub node: NodeId,
    /// Latest incarnation that it has announced in gossip.
    pub incarnation: Incarnation,
    /// Availability zone, empty while unknown.
    pub zone: String,
    /// First log offset that it had not applied as of its last message.
    pub next_offset: u64,
    /// Time of its last message; `None` if there was none or the entry has timed out.
    pub heard_at: Option<Timestamp>,
    /// Time at which another entry last listed it or a message from it arrived.
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

    /// Whether it has sent a message and has not timed out since.
    pub(crate) fn is_responsive(&self) -> bool {
        self.heard_at.is_some()
    }

    /// Records a message from the entry.
    pub(crate) fn on_message(&mut self, next_offset: u64, now: Timestamp) {
        self.heard_at = Some(now);
        self.listed_at = now;
        self.unanswered = 0;
        self.next_offset = self.next_offset.max(next_offset);
    }

    /// Records that another entry has listed it as responsive.
    pub(crate) fn on_listed(&mut self, now: Timestamp) {
        let since_listed = now.since(self.listed_at);
        self.listed_at = now;
        if since_listed >= RETRY_AFTER {
            self.unanswered = 0;
        }
    }

    /// Time at which it last sent a message or was listed, whichever is later.
    pub(crate) fn seen_at(&self) -> Timestamp {
        self.heard_at.unwrap_or_default().max(self.listed_at)
    }
}
