//! What callers ask and what they are answered.

use std::time::Duration;

use ident::{NodeId, RequestId};
use serde::{Deserialize, Serialize};
use verdict::Outcome;
use wire::{AgentReport, JobStatus, TaskSpec};

use crate::Decision;

/// A caller's request, parsed from HTTP.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerRequest {
    /// Run one request.
    Request(Request),
    /// Run a job.
    Job(Job),
    /// Ask for a request's outcome.
    Ask(RequestId),
    /// Cancel a request.
    Cancel(RequestId),
    /// Ask for a job's state.
    AskJob(RequestId),
    /// Cancel a job.
    CancelJob(RequestId),
    /// Ask which version is in force on which node.
    Status,
    /// Ask why a request went where it did.
    Explain(RequestId),
}

/// One request to a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Id that the caller chose, if it chose one.
    pub id: Option<RequestId>,
    /// Service that is asked.
    pub service: String,
    /// Kind of the request.
    pub kind: String,
    /// Team of the caller.
    pub team: String,
    /// Time until the caller needs the answer.
    pub deadline: Option<Duration>,
    /// Run time that the caller declared.
    pub declared: Option<Duration>,
    /// Body for the executor.
    pub body: Vec<u8>,
}

/// A job of several tasks.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Id that the caller chose, if it chose one.
    #[serde(default)]
    pub id: Option<RequestId>,
    /// Team of the caller.
    pub team: String,
    /// Urgency class.
    pub urgency: String,
    /// Milliseconds until the caller needs the answer.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Tasks in the order of their results.
    pub tasks: Vec<TaskSpec>,
}

/// Answer to a caller.
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
    /// State of a job.
    Job {
        /// Id of the job.
        id: RequestId,
        /// Its state.
        status: JobStatus,
    },
    /// Decisions taken about a request, oldest first.
    Explain(Vec<Decision>),
    /// Version in force on each node.
    Status(NodeStatus),
}

/// What an entry knows of the system.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NodeStatus {
    /// Entry that answers.
    pub node: NodeId,
    /// Version of the configuration in force on it.
    pub version: u64,
    /// First log offset that it has not applied.
    pub next_offset: u64,
    /// Entries with the first log offset that each has not applied.
    pub entries: Vec<(NodeId, u64)>,
    /// Agents that it has heard of.
    pub agents: Vec<AgentReport>,
}
