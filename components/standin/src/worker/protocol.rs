//! Bodies of requests and answers.

use ident::RequestId;
use serde::{Deserialize, Serialize};

/// Identifies a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job that it belongs to.
    pub job: RequestId,
    /// Index within the job.
    pub index: u32,
}

/// Starts a task.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StartBody {
    /// Job that the task belongs to.
    pub job: RequestId,
    /// Index within the job.
    pub index: u32,
    /// Processor cores that it needs.
    pub cores: u32,
    /// Memory that it needs, in MB.
    pub memory_mb: u32,
    /// Accelerators that it needs.
    #[serde(default)]
    pub accelerators: u32,
    /// Run time at full speed, in milliseconds.
    pub run_ms: u64,
    /// Its input.
    #[serde(default)]
    pub body: String,
    /// Initial lease duration, in milliseconds.
    pub lease_ms: u64,
}

/// Renews a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseBody {
    /// Lease duration from now, in milliseconds.
    pub lease_ms: u64,
}

/// Stops a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StopBody {
    /// Whether to keep the task's progress.
    pub checkpoint: bool,
}

/// Slows a task down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ThrottleBody {
    /// Percentage of full speed, 1 to 100.
    pub percent: u32,
}

/// Result of a completed task.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Worker that ran it.
    pub worker: String,
    /// Job that it belongs to.
    pub job: RequestId,
    /// Index within the job.
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
    /// On request.
    Requested,
    /// On request, with its progress kept.
    Checkpointed,
    /// Its lease expired.
    LeaseLapsed,
    /// The worker went down.
    WorkerDown,
}

/// Resources in use.
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

/// Answer to a failed request.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Failure {
    pub(super) error: String,
}
