//! Stand-in for a worker, which runs tasks under leases.
//!
//! - `POST /tasks` starts a task ([`StartBody`]) and answers when it has ended:
//!   200 with its result, 410 if it was stopped, or 409 if the worker lacks the
//!   capacity to start it.
//! - `POST /tasks/{job}/{index}/lease` with `{"lease_ms": 3000}` renews its lease.
//! - `POST /tasks/{job}/{index}/stop` with `{"checkpoint": true}` stops it.
//! - `POST /tasks/{job}/{index}/throttle` with `{"percent": 50}` slows it down.
//! - `GET /usage` answers with the resources in use, as of a configured time ago.
//! - `GET /health` is the health check.

mod http;
mod protocol;
mod running;
mod shared;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use eyre::WrapErr;
use ident::RequestId;
use tokio::task::JoinHandle;

pub use self::protocol::{
    LeaseBody, StartBody, StopBody, StopCause, Stopped, TaskAnswer, TaskId, ThrottleBody, Usage,
};
use self::shared::Shared;
pub use crate::fault::Fault;
use crate::{fault::Faults, serve};

/// Options of a stand-in worker.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// Name that its answers contain.
    pub name: String,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Maximum number of connections.
    pub connections: usize,
    /// Age of the usage that it reports.
    pub usage_lag: Duration,
}

/// A running worker; it stops when the handle is dropped.
#[derive(Debug)]
pub struct WorkerServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl WorkerServer {
    /// Starts a worker on an ephemeral port of 127.0.0.1.
    pub async fn start(options: WorkerOptions) -> eyre::Result<WorkerServer> {
        WorkerServer::start_at(options, serve::ANY_PORT).await
    }

    /// Starts a worker on a loopback address.
    pub async fn start_at(
        options: WorkerOptions,
        address: SocketAddr,
    ) -> eyre::Result<WorkerServer> {
        let listener = serve::bind(address).await.wrap_err("cannot bind the worker's port")?;
        let address = listener.local_addr().wrap_err("cannot read the worker's address")?;
        let connections = options.connections;
        let faults = Arc::new(Faults::new());
        let shared = Arc::new(Shared::new(options, Arc::clone(&faults)));
        let server = serve::serve(listener, connections, faults, Arc::clone(&shared));
        Ok(WorkerServer { address, shared, task: tokio::spawn(server) })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of starts of the task.
    pub fn starts(&self, job: RequestId, index: u32) -> u32 {
        self.shared.starts().get(&TaskId { job, index }).copied().unwrap_or(0)
    }

    /// Total number of starts.
    pub fn total_starts(&self) -> u32 {
        self.shared.starts().values().sum()
    }

    /// Tasks that were started more than once.
    pub fn double_starts(&self) -> Vec<TaskId> {
        let starts = self.shared.starts();
        starts.iter().filter(|(_, count)| **count > 1).map(|(task, _)| *task).collect()
    }

    /// Number of running tasks.
    pub fn running(&self) -> usize {
        self.shared.running()
    }

    /// Number of tasks stopped because their lease expired.
    pub fn lapsed(&self) -> u32 {
        self.shared.lapsed.load(Ordering::SeqCst)
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.faults.set(fault);
    }

    /// Silences every connection opened so far: it delivers nothing; new ones work.
    pub fn silence_connections(&self) {
        self.shared.faults.silence_connections();
    }
}

impl Drop for WorkerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
