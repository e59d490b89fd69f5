//! Start options of nodes.

use std::net::SocketAddr;

use front::Limits;
use ident::{Group, NodeId};
use intake::Shares;

/// Start options of an entry.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Availability zone of the node.
    pub availability_zone: String,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Entries to which the entry announces itself; its own id is ignored.
    pub seeds: Vec<NodeId>,
    /// Limits on the resources that callers use.
    pub limits: Limits,
    /// What peers may make the process hold.
    pub shares: Shares,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Start options of an agent.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Name of the endpoint in the inventory.
    pub name: String,
    /// Group that the agent belongs to.
    pub group: Group,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Availability zone of the node.
    pub availability_zone: String,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Entries to which the agent announces itself.
    pub seeds: Vec<NodeId>,
    /// What clients may make the process hold.
    pub shares: Shares,
    /// Seed of the random number generator.
    pub seed: u64,
}
