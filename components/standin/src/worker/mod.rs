//! Stand-in for a worker, which runs tasks under leases.
//!
//! - `POST /tasks` starts a task ([`StartBody`]) and answers with its result
//!   when it has ended: 200, 410 if it was stopped, or 409 if it was not
//!   started because the worker has no room for it.
//! - `POST /tasks/{job}/{index}/lease` with `{"lease_ms": 3000}` renews.
//! - `POST /tasks/{job}/{index}/stop` with `{"checkpoint": true}` stops.
//! - `POST /tasks/{job}/{index}/throttle` with `{"percent": 50}` slows down.
//! - `GET /usage` tells what was in use a while ago, `GET /health` answers.

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

/// What a stand-in worker is told at its start.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// Name that stands in its answers.
    pub name: String,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Connections that it accepts.
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

    /// Times that the task was started.
    pub fn starts(&self, job: RequestId, index: u32) -> u32 {
        self.shared.starts().get(&TaskId { job, index }).copied().unwrap_or(0)
    }

    /// Starts of all tasks.
    pub fn total_starts(&self) -> u32 {
        self.shared.starts().values().sum()
    }

    /// Tasks that were started more than once.
    pub fn double_starts(&self) -> Vec<TaskId> {
        let starts = self.shared.starts();
        starts.iter().filter(|(_, count)| **count > 1).map(|(task, _)| *task).collect()
    }

    /// Tasks that run at present.
    pub fn running(&self) -> usize {
        self.shared.running()
    }

    /// Tasks whose lease lapsed.
    pub fn lapsed(&self) -> u32 {
        self.shared.lapsed.load(Ordering::SeqCst)
    }

    /// Puts a fault in force.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.faults.set(fault);
    }

    /// Makes every connection opened so far deliver nothing; new ones work.
    pub fn silence_connections(&self) {
        self.shared.faults.silence_connections();
    }
}

impl Drop for WorkerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
