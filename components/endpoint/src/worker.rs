//! Client of a worker.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Uri, header::CONTENT_TYPE};
use ident::RequestId;
use node::LinkError;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use verdict::Answer;
use wire::{StartTask, TaskSpec};

use crate::{
    pool::Pool,
    starts::{PendingStarts, TaskId},
};

/// Most connections for commands about tasks and for usage.
const CONTROL_CONNECTIONS: usize = 4;
/// Time within which the worker must answer a command or report its usage.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(250);
/// HTTP status of a worker that refused to start a task.
const STATUS_NOT_STARTED: u16 = 409;

/// Client of a worker; clones share its connections.
#[derive(Debug, Clone)]
pub struct Worker {
    tasks: Arc<Pool>,
    control: Arc<Pool>,
    starts: Arc<PendingStarts>,
}

/// Error of a task without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartError {
    /// The worker refused to start the task, for the given reason.
    Refused(String),
    /// No byte of the request was sent.
    NotSent,
    /// The task may have started.
    Lost,
}

/// Error of a command to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker runs no such task.
    UnknownTask,
    /// The worker sent an unexpected answer.
    Unexpected {
        /// HTTP status.
        status: u16,
        /// Body, with invalid UTF-8 replaced.
        body: String,
    },
    /// The worker did not answer.
    Link(LinkError),
}

/// Resources in use, as a worker reports them with a lag.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Usage {
    /// Processor cores.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Running tasks.
    pub tasks: u32,
}

/// Body of `POST /tasks`.
#[derive(Debug)]
#[derive(Serialize)]
struct StartBody<'a> {
    job: RequestId,
    index: u32,
    #[serde(flatten)]
    task: &'a TaskSpec,
    lease_ms: u64,
}

/// Body of `POST /tasks/{job}/{index}/lease`.
#[derive(Debug)]
#[derive(Serialize)]
struct LeaseBody {
    lease_ms: u64,
}

/// Body of `POST /tasks/{job}/{index}/stop`.
#[derive(Debug)]
#[derive(Serialize)]
struct StopBody {
    checkpoint: bool,
}

/// Body of `POST /tasks/{job}/{index}/throttle`.
#[derive(Debug)]
#[derive(Serialize)]
struct ThrottleBody {
    percent: u32,
}

impl Worker {
    /// Creates a client with at most `connections` connections for tasks, and a few for commands.
    pub fn new(address: SocketAddr, connections: usize) -> Worker {
        Worker {
            tasks: Arc::new(Pool::new(address, connections)),
            control: Arc::new(Pool::new(address, CONTROL_CONNECTIONS)),
            starts: Arc::default(),
        }
    }

    /// Changes the number of connections for tasks; tasks in progress continue.
    pub fn set_connections(&self, connections: usize) {
        self.tasks.resize(connections);
    }

    /// Starts a task and waits for its answer, at most for its budget.
    ///
    /// The connection may go silent before the answer arrives. If the answer to a
    /// renewal says that the task no longer runs, the start counts as lost after a
    /// grace period.
    pub async fn start(&self, start: &StartTask) -> Result<Answer, StartError> {
        let body = StartBody {
            job: start.job,
            index: start.index,
            task: &start.task,
            lease_ms: millis(start.lease),
        };
        let request = post_json("/tasks".to_owned(), &body);
        let pending = self.starts.add(TaskId { job: start.job, index: start.index });
        let answer = tokio::select! {
            answer = self.tasks.send(&request, Instant::now() + start.budget) => answer?,
            () = pending.wait_overdue() => return Err(StartError::Lost),
        };
        match answer.status {
            STATUS_NOT_STARTED => Err(StartError::Refused(body_text(&answer))),
            _ => Ok(answer),
        }
    }

    /// Renews a task's lease, which then ends `lease` from now.
    pub async fn renew(
        &self,
        job: RequestId,
        index: u32,
        lease: Duration,
    ) -> Result<(), WorkerError> {
        let body = LeaseBody { lease_ms: millis(lease) };
        let renewed = self.command(job, index, "lease", &body).await;
        if renewed == Err(WorkerError::UnknownTask) {
            self.starts.mark_ended(TaskId { job, index });
        }
        renewed
    }

    /// Stops a task without a checkpoint.
    pub async fn stop(&self, job: RequestId, index: u32) -> Result<(), WorkerError> {
        self.command(job, index, "stop", &StopBody { checkpoint: false }).await
    }

    /// Stops a task after a checkpoint.
    pub async fn checkpoint(&self, job: RequestId, index: u32) -> Result<(), WorkerError> {
        self.command(job, index, "stop", &StopBody { checkpoint: true }).await
    }

    /// Slows a task down to `percent` of its speed.
    pub async fn throttle(
        &self,
        job: RequestId,
        index: u32,
        percent: u32,
    ) -> Result<(), WorkerError> {
        self.command(job, index, "throttle", &ThrottleBody { percent }).await
    }

    /// Gets the resources that the worker reports as in use.
    pub async fn usage(&self) -> Result<Usage, WorkerError> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = Uri::from_static("/usage");
        let answer = self.control(&request).await?;
        match answer.status {
            200 => serde_json::from_slice(&answer.body).map_err(|_| unexpected(&answer)),
            _ => Err(unexpected(&answer)),
        }
    }

    /// Sends a command about a task.
    async fn command<T: Serialize>(
        &self,
        job: RequestId,
        index: u32,
        verb: &str,
        body: &T,
    ) -> Result<(), WorkerError> {
        let request = post_json(format!("/tasks/{job}/{index}/{verb}"), body);
        let answer = self.control(&request).await?;
        match answer.status {
            200 => Ok(()),
            404 => Err(WorkerError::UnknownTask),
            _ => Err(unexpected(&answer)),
        }
    }

    /// Sends a command, and repeats it once if its answer is lost; commands are idempotent.
    async fn control(&self, request: &Request<Full<Bytes>>) -> Result<Answer, LinkError> {
        match self.control.send(request, Instant::now() + CONTROL_TIMEOUT).await {
            Err(LinkError::Lost) => {
                self.control.send(request, Instant::now() + CONTROL_TIMEOUT).await
            }
            ended => ended,
        }
    }
}

impl From<LinkError> for StartError {
    fn from(err: LinkError) -> StartError {
        match err {
            LinkError::NotSent => StartError::NotSent,
            LinkError::Lost => StartError::Lost,
        }
    }
}

impl From<LinkError> for WorkerError {
    fn from(err: LinkError) -> WorkerError {
        WorkerError::Link(err)
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

fn post_json<T: Serialize>(path: String, body: &T) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(body).expect("request bodies are serializable as JSON");
    Request::post(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("paths consist of ids and literals")
}

fn unexpected(answer: &Answer) -> WorkerError {
    WorkerError::Unexpected { status: answer.status, body: body_text(answer) }
}

fn body_text(answer: &Answer) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
