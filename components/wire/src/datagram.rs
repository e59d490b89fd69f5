//! Datagrams for cluster membership and ownership promises.

use ident::{Group, Incarnation, NodeId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::Load;

/// Payload of one UDP datagram.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Datagram {
    /// Periodic report from an agent to its entries.
    Heartbeat(AgentReport),
    /// Change of an agent's load, sent to its entries between heartbeats.
    Load {
        /// Sending agent.
        node: NodeId,
        /// Its current incarnation.
        incarnation: Incarnation,
        /// Sequence number among its reports.
        sequence: u64,
        /// Load of the agent.
        load: Load,
    },
    /// Answer of an entry to an agent's heartbeat.
    HeartbeatAck {
        /// Answering entry.
        from: NodeId,
        /// First log offset that the entry has not applied.
        next_offset: u64,
        /// Start time of the latest log read that reached that offset.
        read_at: Timestamp,
        /// Some entries known to the sender.
        entries: Vec<NodeId>,
        /// Some entries in the receiver's availability zone.
        zone_entries: Vec<NodeId>,
        /// Some agents of the receiver's group, to which it may hand requests on.
        peers: Vec<AgentReport>,
    },
    /// Membership news between entries.
    Gossip {
        /// Sending entry.
        from: NodeId,
        /// Its current incarnation.
        incarnation: Incarnation,
        /// Its availability zone.
        availability_zone: String,
        /// First log offset that the entry has not applied.
        next_offset: u64,
        /// Some entries known to the sender.
        entries: Vec<NodeId>,
        /// Reports on agents believed to be alive.
        agents: Vec<AgentReport>,
        /// Agents suspected to have failed, or believed to be gone.
        suspicions: Vec<Suspicion>,
    },
    /// Request for a promise, from an owner of shards to its deputy.
    PromiseRequest {
        /// Requesting owner.
        owner: NodeId,
        /// Its current incarnation.
        incarnation: Incarnation,
        /// First log offset that the owner has not applied.
        next_offset: u64,
    },
    /// Answer of a deputy to a [`Datagram::PromiseRequest`].
    Promise(Promise),
}

/// Suspicion that an agent has failed: nothing newer than a given report was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspicion {
    /// Suspected agent.
    pub node: NodeId,
    /// Its last known incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the last known report.
    pub sequence: u64,
}

/// Promise of a deputy not to take over the owner's shards for ids created before
/// a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Promise {
    /// Deputy that makes the promise.
    pub deputy: NodeId,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Incarnation of the requesting owner.
    pub owner_incarnation: Incarnation,
    /// First log offset that the deputy has not applied.
    pub next_offset: u64,
    /// The deputy decides none of the owner's ids created before this time.
    pub until: Timestamp,
}

/// Report on an agent; the newest has the highest incarnation, then sequence number.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AgentReport {
    /// Reported agent.
    pub node: NodeId,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Name of its endpoint in the inventory.
    pub name: String,
    /// Group that the agent belongs to.
    pub group: Group,
    /// Its availability zone.
    pub availability_zone: String,
    /// Whether the agent is shutting down and accepts no new work.
    pub leaving: bool,
    /// Load at the time of the report.
    pub load: Load,
    /// First log offset that the agent has not applied.
    pub next_offset: u64,
}
