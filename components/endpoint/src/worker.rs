//! Client of a worker.

use std::{fmt, net::SocketAddr, time::Duration};

use ident::RequestId;
use node::LinkError;
use serde::Deserialize;
use verdict::Answer;
use wire::StartTask;

/// Client of a worker.
#[derive(Debug, Clone)]
pub struct Worker {
    _address: SocketAddr,
}

/// Why a task has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartError {
    /// The worker refused the task before it started, for the reason that it gave.
    Refused(String),
    /// No byte of the start was written.
    NotSent,
    /// The task may have started.
    Lost,
}

/// Why a worker did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker runs no such task.
    UnknownTask,
    /// The worker answered something else than it should.
    Unexpected {
        /// HTTP status.
        status: u16,
        /// Body, as far as it is text.
        body: String,
    },
    /// There is no answer.
    Link(LinkError),
}

/// What a worker reports to be in use, with a lag.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Tasks that run.
    pub tasks: u32,
}

impl Worker {
    /// Uses at most `connections` connections for tasks at a time, and a few for control.
    pub fn new(address: SocketAddr, _connections: usize) -> Worker {
        Worker { _address: address }
    }

    /// Starts a task and waits for its answer until its budget has passed.
    pub async fn start(&self, _start: &StartTask) -> Result<Answer, StartError> {
        Err(StartError::NotSent)
    }

    /// Prolongs a task's lease to `lease` from now.
    pub async fn renew(
        &self,
        _job: RequestId,
        _index: u32,
        _lease: Duration,
    ) -> Result<(), WorkerError> {
        Err(WorkerError::UnknownTask)
    }

    /// Stops a task without a checkpoint.
    pub async fn stop(&self, _job: RequestId, _index: u32) -> Result<(), WorkerError> {
        Err(WorkerError::UnknownTask)
    }

    /// Stops a task after a checkpoint.
    pub async fn checkpoint(&self, _job: RequestId, _index: u32) -> Result<(), WorkerError> {
        Err(WorkerError::UnknownTask)
    }

    /// Slows a task down to `percent` of its speed.
    pub async fn throttle(
        &self,
        _job: RequestId,
        _index: u32,
        _percent: u32,
    ) -> Result<(), WorkerError> {
        Err(WorkerError::UnknownTask)
    }

    /// What the worker reports to be in use.
    pub async fn usage(&self) -> Result<Usage, WorkerError> {
        Err(WorkerError::UnknownTask)
    }
}

impl From<StartError> for LinkError {
    fn from(err: StartError) -> LinkError {
        match err {
            StartError::Refused(_) | StartError::NotSent => LinkError::NotSent,
            StartError::Lost => LinkError::Lost,
        }
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Refused(reason) => write!(f, "the worker refused the task: {reason}"),
            StartError::NotSent => f.write_str("the worker cannot be reached"),
            StartError::Lost => f.write_str("the connection to the worker was lost"),
        }
    }
}

impl std::error::Error for StartError {}

impl fmt::Display for WorkerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkerError::UnknownTask => f.write_str("the worker runs no such task"),
            WorkerError::Unexpected { status, body } => {
                write!(f, "the worker answered with status {status}: {body}")
            }
            WorkerError::Link(LinkError::NotSent) => f.write_str("the worker cannot be reached"),
            WorkerError::Link(LinkError::Lost) => {
                f.write_str("the connection to the worker was lost")
            }
        }
    }
}

impl std::error::Error for WorkerError {}
