//! Datagrams for membership and ownership promises.

use ident::{Group, Incarnation, NodeId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::Load;

/// One UDP message.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Datagram {
    /// From an agent to its entries: it is alive.
    Heartbeat(AgentReport),
    /// From an agent to its entries between heartbeats: its load has changed.
    Load {
        /// Agent that sends.
        node: NodeId,
        /// Its current start.
        incarnation: Incarnation,
        /// Number among its reports.
        sequence: u64,
        /// Its load.
        load: Load,
    },
    /// From an entry to an agent, in answer.
    HeartbeatAck {
        /// Entry that answers.
        from: NodeId,
        /// First log offset that the entry has not applied.
        next_offset: u64,
        /// Start of the latest log read that reached that offset.
        read_at: Timestamp,
        /// Entries that the sender knows.
        entries: Vec<NodeId>,
        /// Those that stand in the receiver's availability zone.
        near: Vec<NodeId>,
        /// Some agents of the receiver's group, for handing requests on.
        peers: Vec<AgentReport>,
    },
    /// Between entries.
    Gossip {
        /// Entry that sends.
        from: NodeId,
        /// Its current start.
        incarnation: Incarnation,
        /// Availability zone that it stands in.
        availability_zone: String,
        /// First log offset that the entry has not applied.
        next_offset: u64,
        /// Entries that the sender knows.
        entries: Vec<NodeId>,
        /// News on agents.
        agents: Vec<AgentReport>,
        /// Agents that the sender believes to be dead.
        silent: Vec<Silence>,
    },
    /// From the owner of shards to its deputy: asks for a promise.
    PromiseRequest {
        /// Owner that asks.
        owner: NodeId,
        /// Its current start.
        incarnation: Incarnation,
        /// First log offset that the owner has not applied.
        next_offset: u64,
    },
    /// From a deputy to an owner.
    Promise(Promise),
}

/// An agent from which nothing newer than a given report was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Silence {
    /// Agent that is silent.
    pub node: NodeId,
    /// Its last known start.
    pub incarnation: Incarnation,
    /// Number of the last report.
    pub sequence: u64,
}

/// A deputy's promise not to take over the owner's shards for ids made before
/// a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Promise {
    /// Deputy that promises.
    pub deputy: NodeId,
    /// Its current start.
    pub incarnation: Incarnation,
    /// Start of the owner that asked.
    pub to: Incarnation,
    /// First log offset that the deputy has not applied.
    pub next_offset: u64,
    /// The deputy will decide no id of the owner's made before this time.
    pub until: Timestamp,
}

/// News on an agent, newest by incarnation, then by sequence number.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AgentReport {
    /// Agent that the report is about.
    pub node: NodeId,
    /// Its current start.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation.
    pub sequence: u64,
    /// Name of its endpoint in the inventory.
    pub name: String,
    /// Group that it serves.
    pub group: Group,
    /// Availability zone that it stands in.
    pub availability_zone: String,
    /// Whether it is stopping and takes no new work.
    pub leaving: bool,
    /// Load when the report was made.
    pub load: Load,
    /// First log offset that it has not applied.
    pub next_offset: u64,
}
