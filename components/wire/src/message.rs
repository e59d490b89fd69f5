//! Calls between nodes and their replies.

use std::time::Duration;

use ident::{NodeId, RequestId, Timestamp};
use serde::{Deserialize, Serialize};
use verdict::Outcome;

/// What one node asks of another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Call {
    /// Decides whether the request may start and runs it.
    Run(Run),
    /// Runs a request that the calling owner has decided to start.
    Execute(Run),
    /// Cancels a request or job.
    Cancel(Cancel),
    /// Asks what became of a request.
    Ask(RequestId),
    /// Waits for the outcome of a request that an earlier `Execute` brought.
    Await(RequestId),
    /// Decides whether the job may start and runs it.
    Submit(JobSpec),
    /// Asks what became of a job.
    AskJob(RequestId),
    /// Starts a task of a job on the worker.
    StartTask(StartTask),
    /// Prolongs the leases of the job's tasks on the worker.
    RenewTasks {
        /// Job whose tasks go on.
        job: RequestId,
        /// Time that the leases last from now.
        lease: Duration,
    },
    /// Stops the job's tasks on the worker.
    StopTasks {
        /// Job whose tasks end.
        job: RequestId,
    },
    /// Asks for the replicated state, if it is newer than `have`.
    Fetch(Fetch),
    /// Passes a stopping owner's ledger to its deputy.
    HandOver(HandOver),
}

/// A request on its way to an executor.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Id of the request.
    pub id: RequestId,
    /// Random number of this submission, the same in all copies of it.
    pub attempt: u64,
    /// When the caller's request reached its entry.
    pub submitted: Timestamp,
    /// Whether the team is over its quota: only an id known already is answered.
    pub over_quota: bool,
    /// Service that is asked.
    pub service: String,
    /// Kind of the request.
    pub kind: String,
    /// Team of the caller.
    pub team: String,
    /// Time left until the deadline, when the message was sent.
    pub budget: Duration,
    /// Run time that the caller declared.
    pub declared: Option<Duration>,
    /// Agents that the entry holds to be free soonest, if the owner is not.
    pub hints: Vec<NodeId>,
    /// Body for the executor.
    pub body: Vec<u8>,
}

/// Cancels a request or job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cancel {
    /// Id of the request or job.
    pub id: RequestId,
}

/// Asks for the replicated state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fetch {
    /// Log offset up to which the caller has applied records.
    pub have: u64,
}

/// Ledger of the shards that a stopping owner gives up.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HandOver {
    /// Node that gives up its shards.
    pub from: NodeId,
    /// Encoded ledger, see the `ledger` component.
    pub ledger: Vec<u8>,
}

/// A job as its caller submits it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job.
    pub id: RequestId,
    /// Random number of this submission, the same in all copies of it.
    pub attempt: u64,
    /// When the caller's request reached its entry.
    pub submitted: Timestamp,
    /// Whether the team is over its quota: only an id known already is answered.
    pub over_quota: bool,
    /// Team of the caller.
    pub team: String,
    /// Urgency class.
    pub urgency: String,
    /// Time left until the deadline, when the message was sent.
    pub budget: Duration,
    /// Tasks in the order of their results.
    pub tasks: Vec<TaskSpec>,
}

/// A task of a job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TaskSpec {
    /// Processor cores that it needs.
    pub cores: u32,
    /// Memory that it needs, in MB.
    pub memory_mb: u32,
    /// Accelerators that it needs.
    #[serde(default)]
    pub accelerators: u32,
    /// Declared run time in milliseconds.
    pub run_ms: u64,
    /// Input for the worker.
    #[serde(default)]
    pub body: String,
}

/// Starts one task under a lease.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StartTask {
    /// Job that the task belongs to.
    pub job: RequestId,
    /// Position of the task in the job.
    pub index: u32,
    /// What to run.
    pub task: TaskSpec,
    /// Time that the task may go on without renewal.
    pub lease: Duration,
    /// Time left until the job's deadline, when the message was sent.
    pub budget: Duration,
}

/// State of a job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum JobStatus {
    /// Some tasks have not ended.
    Running {
        /// Tasks that have ended.
        done: u32,
        /// All tasks.
        total: u32,
    },
    /// Complete, with the results in task order, or failed.
    Ended(Outcome),
}

/// What a node answers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// Result of `Run` and `Execute`.
    Run(RunReply),
    /// Result of `Cancel` and `Ask`, and of `Await` where the id is unknown.
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

/// What a node knows of an id.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Status {
    /// The node has not seen the id, or no longer remembers it.
    Unknown,
    /// The request is queued or running.
    Running,
    /// The request has its outcome.
    Ended(Outcome),
}

/// Result of a request, with news on the node that ran it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunReply {
    /// Final outcome.
    pub outcome: Outcome,
    /// Node whose executor ran the request.
    pub ran_on: Option<NodeId>,
    /// Time that the executor took.
    pub run_time: Duration,
    /// Load of the answering node.
    pub load: Load,
}

/// Load of an agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Slots in use.
    pub busy: u32,
    /// All slots.
    pub slots: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Expected run time of all that is queued or running.
    pub work: Duration,
}

/// Replicated state as of a log offset.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Every record before this offset has been applied.
    pub next_offset: u64,
    /// Start of the latest log read that the state rests on.
    pub read_at: Timestamp,
    /// Encoded state, see the `register` component.
    pub state: Vec<u8>,
}
