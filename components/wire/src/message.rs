//! Calls between nodes and their replies.

use std::time::Duration;

use ident::{NodeId, RequestId, Timestamp};
use serde::{Deserialize, Serialize};
use verdict::Outcome;

/// Remote call from one node to another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Call {
    /// Decides whether the request may start, and runs it if so.
    Run(Run),
    /// Runs a request that the calling owner has decided to start.
    Execute(Run),
    /// Cancels a request or job.
    Cancel(Cancel),
    /// Queries the status of a request.
    Ask(RequestId),
    /// Waits for the outcome of a request that was sent by an earlier `Execute`.
    Await(RequestId),
    /// Decides whether the job may start, and runs it if so.
    Submit(JobSpec),
    /// Queries the status of a job.
    AskJob(RequestId),
    /// Starts a task of a job on the worker.
    StartTask(StartTask),
    /// Renews the leases of the job's tasks on the worker.
    RenewTasks {
        /// Job that the tasks belong to.
        job: RequestId,
        /// New duration of the leases, counted from now.
        lease: Duration,
    },
    /// Stops the job's tasks on the worker.
    StopTasks {
        /// Job that the tasks belong to.
        job: RequestId,
    },
    /// Fetches the replicated state if the peer's is newer.
    Fetch(Fetch),
    /// Transfers the ledger of an owner that is shutting down to its deputy.
    HandOver(HandOver),
}

/// Request to be run by an executor.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Id of the request.
    pub id: RequestId,
    /// Random number of this submission, the same in all copies of it.
    pub attempt: u64,
    /// When the caller's request reached its entry.
    pub submitted: Timestamp,
    /// Whether the team is over its quota; if so, only an id that is already known is answered.
    pub over_quota: bool,
    /// Requested service.
    pub service: String,
    /// Kind of the request.
    pub kind: String,
    /// Team of the caller.
    pub team: String,
    /// Time left until the deadline when the message was sent.
    pub budget: Duration,
    /// Run time declared by the caller.
    pub declared: Option<Duration>,
    /// Agents that the entry expects to be free soonest, for an owner that is busy itself.
    pub hints: Vec<NodeId>,
    /// Body passed to the executor.
    pub body: Vec<u8>,
}

/// Cancels a request or job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cancel {
    /// Id of the request or job.
    pub id: RequestId,
}

/// Fetches the replicated state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fetch {
    /// First log offset that the sender has not applied.
    pub next_offset: u64,
}

/// Ledger of the shards given up by an owner that is shutting down.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HandOver {
    /// Node that gives up its shards.
    pub from: NodeId,
    /// Encoded ledger, see the `ledger` component.
    pub ledger: Vec<u8>,
}

/// Job as submitted by the caller.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job.
    pub id: RequestId,
    /// Random number of this submission, the same in all copies of it.
    pub attempt: u64,
    /// When the caller's request reached its entry.
    pub submitted: Timestamp,
    /// Whether the team is over its quota; if so, only an id that is already known is answered.
    pub over_quota: bool,
    /// Team of the caller.
    pub team: String,
    /// Urgency class.
    pub urgency: String,
    /// Time left until the deadline when the message was sent.
    pub budget: Duration,
    /// Tasks, in the order in which results are returned.
    pub tasks: Vec<TaskSpec>,
}

/// Task of a job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TaskSpec {
    /// Required processor cores.
    pub cores: u32,
    /// Required memory in MB.
    pub memory_mb: u32,
    /// Required accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Declared run time in milliseconds.
    pub run_ms: u64,
    /// Input passed to the worker.
    #[serde(default)]
    pub body: String,
}

/// Starts one task under a lease.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StartTask {
    /// Job that the task belongs to.
    pub job: RequestId,
    /// Index of the task in the job.
    pub index: u32,
    /// Task to run.
    pub task: TaskSpec,
    /// Time for which the task may run without renewal.
    pub lease: Duration,
    /// Time left until the job's deadline when the message was sent.
    pub budget: Duration,
}

/// State of a job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum JobStatus {
    /// At least one task has not ended.
    Running {
        /// Number of tasks that have ended.
        done: u32,
        /// Number of all tasks.
        total: u32,
    },
    /// The job is complete, with the results in task order, or has failed.
    Ended(Outcome),
}

/// Reply to a [`Call`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// Result of `Run` and `Execute`.
    Run(RunReply),
    /// Result of `Cancel` and `Ask`, and of `Await` if the id is unknown.
    Status(Status),
    /// Result of `Submit` and `AskJob`.
    Job(JobStatus),
    /// Result of `StartTask`.
    Task(Outcome),
    /// Result of `Fetch`.
    State(Option<Snapshot>),
    /// The call was carried out and has no result.
    Ack,
}

/// Status of a request, as far as the node knows it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Status {
    /// The node has not seen the id, or no longer remembers it.
    Unknown,
    /// The request is queued or running.
    Running,
    /// The request has ended with this outcome.
    Ended(Outcome),
}

/// Result of a request and the load of the answering node.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunReply {
    /// Final outcome.
    pub outcome: Outcome,
    /// Node whose executor ran the request.
    pub ran_on: Option<NodeId>,
    /// Time taken by the executor.
    pub run_time: Duration,
    /// Load of the answering node.
    pub load: Load,
}

/// Load of an agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Number of slots in use.
    pub busy: u32,
    /// Number of all slots.
    pub slots: u32,
    /// Number of requests in the queue.
    pub queued: u32,
    /// Expected run time of all queued and running requests; `work` in the status as JSON.
    #[serde(rename = "work")]
    pub backlog: Duration,
}

/// Replicated state as of a log offset.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Every record before this offset has been applied.
    pub next_offset: u64,
    /// Start time of the latest log read that the state is based on.
    pub read_at: Timestamp,
    /// Encoded state, see the `register` component.
    pub state: Vec<u8>,
}
