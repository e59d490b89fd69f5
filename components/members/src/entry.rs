//! What is known of one entry.

use std::time::Duration;

use ident::{Incarnation, NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// Time after which an entry that did not answer is tried again if it is listed.
const SECOND_CHANCE: Duration = Duration::from_secs(10);

/// An entry as this node sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// The entry.
    pub node: NodeId,
    /// Its latest known start.
    pub incarnation: Incarnation,
    /// Its availability zone, empty while it is not known.
    pub zone: String,
    /// First log offset that it had not applied when last heard from.
    pub next_offset: u64,
    /// Time at which it was last heard from, if ever.
    pub heard_at: Option<Timestamp>,
    /// Time at which another entry last listed it.
    pub(crate) listed_at: Timestamp,
    /// Messages sent to it since it was last heard from.
    pub(crate) unanswered: u32,
    /// Rank for this node, the same whenever it is computed (rendezvous hashing).
    pub(crate) rank: u64,
    /// Whether the settings name it, so that it is never forgotten.
    pub(crate) seed: bool,
}

impl Peer {
    pub(crate) fn new(node: NodeId, of: NodeId, now: Timestamp) -> Peer {
        Peer {
            node,
            incarnation: Incarnation::default(),
            zone: String::new(),
            next_offset: 0,
            heard_at: None,
            listed_at: now,
            unanswered: 0,
            rank: xxh3_64(format!("{of} {node}").as_bytes()),
            seed: false,
        }
    }

    pub(crate) fn on_message(&mut self, next_offset: u64, now: Timestamp) {
        self.heard_at = Some(now);
        self.listed_at = now;
        self.unanswered = 0;
        self.next_offset = self.next_offset.max(next_offset);
    }

    /// Notes that another entry has heard from it.
    pub(crate) fn on_listed(&mut self, now: Timestamp) {
        let waited = now.since(self.listed_at);
        self.listed_at = now;
        if waited >= SECOND_CHANCE {
            self.unanswered = 0;
        }
    }

    /// Latest time at which anyone vouched for it.
    pub(crate) fn known_at(&self) -> Timestamp {
        self.heard_at.unwrap_or_default().max(self.listed_at)
    }
}
