//! Tracks on which nodes a version is in force.

use std::time::Duration;

use ident::{Group, NodeId};
use node::NodeStatus;
use serde::Serialize;
use tokio::time::{Instant, sleep};
use wire::AgentReport;

use crate::entry::{CallError, EntryClient};

/// Interval between polls of an entry's status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A node as reported by an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct Node {
    pub(crate) node: NodeId,
    /// Name of the endpoint; `None` for an entry.
    pub(crate) name: Option<String>,
    pub(crate) role: String,
    pub(crate) availability_zone: Option<String>,
    pub(crate) slots_busy: Option<u32>,
    pub(crate) slots: Option<u32>,
    pub(crate) progress: Progress,
}

/// State of a version on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Progress {
    /// The version is in force.
    InForce,
    /// An older version is in force.
    Behind,
    /// The node is stopping and is not waited for.
    Leaving,
}

/// Result of waiting for a version to come into force.
#[derive(Debug)]
pub(crate) enum Rollout {
    /// It is in force on every node.
    Complete {
        /// Number of nodes.
        nodes: usize,
    },
    /// Some nodes are behind.
    Stragglers(Vec<Node>),
    /// The entry did not report the nodes.
    Unknown(CallError),
}

/// Lists the nodes that an entry knows, itself first.
pub(crate) fn nodes(status: &NodeStatus, version: u64) -> Vec<Node> {
    let own = entry_node(status.node, progress(status.next_offset, version));
    let others = status.entries.iter().filter(|(node, _)| *node != status.node);
    let entries = others.map(|(node, next)| entry_node(*node, progress(*next, version)));
    let mut agents: Vec<&AgentReport> = status.agents.iter().collect();
    agents.sort_by_key(|it| (&it.group, &it.name, it.node));
    let agents = agents.into_iter().map(|report| agent_node(report, version));
    std::iter::once(own).chain(entries).chain(agents).collect()
}

/// Nodes on which an older version is in force.
pub(crate) fn stragglers(nodes: Vec<Node>) -> Vec<Node> {
    nodes.into_iter().filter(|it| it.progress == Progress::Behind).collect()
}

/// Waits until `version` is in force on every node that the entry knows.
pub(crate) async fn wait_in_force(entry: &EntryClient, version: u64, timeout: Duration) -> Rollout {
    let end = Instant::now() + timeout;
    loop {
        let rollout = match entry.status().await {
            Ok(status) => rollout_of(&status, version),
            Err(err) => Rollout::Unknown(err),
        };
        match rollout {
            Rollout::Complete { nodes } => return Rollout::Complete { nodes },
            Rollout::Stragglers(_) | Rollout::Unknown(_) if Instant::now() >= end => {
                return rollout;
            }
            Rollout::Stragglers(_) | Rollout::Unknown(_) => sleep(POLL_INTERVAL).await,
        }
    }
}

impl Node {
    /// Human-readable name and address.
    pub(crate) fn label(&self) -> String {
        match &self.name {
            Some(name) => format!("{name} ({})", self.node),
            None => format!("entry {}", self.node),
        }
    }
}

fn rollout_of(status: &NodeStatus, version: u64) -> Rollout {
    let nodes = nodes(status, version);
    let count = nodes.len();
    let stragglers = stragglers(nodes);
    match stragglers.is_empty() {
        true => Rollout::Complete { nodes: count },
        false => Rollout::Stragglers(stragglers),
    }
}

fn entry_node(node: NodeId, progress: Progress) -> Node {
    Node {
        node,
        name: None,
        role: "entry".to_owned(),
        availability_zone: None,
        slots_busy: None,
        slots: None,
        progress,
    }
}

fn agent_node(report: &AgentReport, version: u64) -> Node {
    let progress = match report.leaving {
        true => Progress::Leaving,
        false => progress(report.next_offset, version),
    };
    let role = match &report.group {
        Group::Service(service) => format!("executor of {service}"),
        Group::Workers => "worker".to_owned(),
    };
    Node {
        node: report.node,
        name: Some(report.name.clone()),
        role,
        availability_zone: Some(report.availability_zone.clone()),
        slots_busy: Some(report.load.busy),
        slots: Some(report.load.slots),
        progress,
    }
}

/// A version is the offset of its record, and in force once that record is applied.
fn progress(next_offset: u64, version: u64) -> Progress {
    match next_offset > version {
        true => Progress::InForce,
        false => Progress::Behind,
    }
}
