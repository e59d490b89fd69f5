//! Bodies of requests and answers.

use ident::RequestId;
use serde::{Deserialize, Serialize};

/// Names a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job that it belongs to.
    pub job: RequestId,
    /// Its position in the job.
    pub index: u32,
}

/// Starts a task.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StartBody {
    /// Job that the task belongs to.
    pub job: RequestId,
    /// Its position in the job.
    pub index: u32,
    /// Processor cores that it needs.
    pub cores: u32,
    /// Memory that it needs, in MB.
    pub memory_mb: u32,
    /// Accelerators that it needs.
    #[serde(default)]
    pub accelerators: u32,
    /// Time that it takes at full speed, in milliseconds.
    pub run_ms: u64,
    /// Its input.
    #[serde(default)]
    pub body: String,
    /// Time that it may go on without renewal, in milliseconds.
    pub lease_ms: u64,
}

/// Renews a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseBody {
    /// Time that the task may go on from now, in milliseconds.
    pub lease_ms: u64,
}

/// Stops a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StopBody {
    /// Whether the task's progress is to be kept.
    pub checkpoint: bool,
}

/// Slows a task down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ThrottleBody {
    /// Share of full speed, 1 to 100.
    pub percent: u32,
}

/// Result of a task that ran to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Worker that ran it.
    pub worker: String,
    /// Job that it belongs to.
    pub job: RequestId,
    /// Its position in the job.
    pub index: u32,
    /// Its input.
    pub body: String,
}

/// Answer of a task that was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stopped {
    /// Why it was stopped.
    pub stopped: StopCause,
}

/// Why a task was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopCause {
    /// It was asked to stop.
    Requested,
    /// It was asked to stop and its progress was kept.
    Checkpointed,
    /// Its lease lapsed.
    LeaseLapsed,
    /// The worker went down.
    WorkerDown,
}

/// What was in use a while ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Tasks.
    pub tasks: u32,
}

/// Answer to a request that was not carried out.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Failure {
    pub(super) error: String,
}
