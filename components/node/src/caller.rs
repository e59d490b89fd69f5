//! Requests of callers and the replies to them.

use std::time::Duration;

use ident::{NodeId, RequestId};
use serde::{Deserialize, Serialize};
use verdict::Outcome;
use wire::{AgentReport, JobStatus, TaskSpec};

use crate::Decision;

/// Request of a caller, parsed from HTTP.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerRequest {
    /// Run a request.
    Request(Request),
    /// Run a job.
    Job(Job),
    /// Get the outcome of a request.
    Ask(RequestId),
    /// Cancel a request.
    Cancel(RequestId),
    /// Get the status of a job.
    AskJob(RequestId),
    /// Cancel a job.
    CancelJob(RequestId),
    /// Get the configuration version in force on each node.
    Status,
    /// Get the decisions about a request.
    Explain(RequestId),
}

/// A request to a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Id chosen by the caller, if any.
    pub id: Option<RequestId>,
    /// Name of the service.
    pub service: String,
    /// Request kind.
    pub kind: String,
    /// Team of the caller.
    pub team: String,
    /// Time until the answer is due.
    pub deadline: Option<Duration>,
    /// Run time declared by the caller.
    pub declared: Option<Duration>,
    /// Body passed to the executor.
    pub body: Vec<u8>,
}

/// A job of several tasks.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Id chosen by the caller, if any.
    #[serde(default)]
    pub id: Option<RequestId>,
    /// Team of the caller.
    pub team: String,
    /// Urgency class.
    pub urgency: String,
    /// Time until the answer is due, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Tasks; results have the same order.
    pub tasks: Vec<TaskSpec>,
}

/// Reply to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerReply {
    /// Outcome of a request.
    Outcome {
        /// Id of the request.
        id: Option<RequestId>,
        /// Its outcome.
        outcome: Outcome,
        /// Node whose executor ran it.
        ran_on: Option<NodeId>,
    },
    /// The request has no outcome yet.
    Running(RequestId),
    /// Status of a job.
    Job {
        /// Id of the job.
        id: RequestId,
        /// Its status.
        status: JobStatus,
    },
    /// Decisions about a request, oldest first.
    Explain(Vec<Decision>),
    /// Status of the cluster.
    Status(NodeStatus),
}

/// Cluster status as known to one entry.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NodeStatus {
    /// Entry that reports.
    pub node: NodeId,
    /// Version of the configuration in force on the entry.
    pub version: u64,
    /// First log offset that the entry has not applied.
    pub next_offset: u64,
    /// Other entries, each with the first log offset that it has not applied.
    pub entries: Vec<(NodeId, u64)>,
    /// Latest report of each agent that is not gone.
    pub agents: Vec<AgentReport>,
}
