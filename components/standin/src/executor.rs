//! Stand-in for an executor.
//!
//! `POST /run` with the headers `primrosemux-request` and `primrosemux-kind`
//! runs one request; its run time is given in the body as `{"run_ms": 80}`. A
//! run occupies a slot; further runs wait for a free one. The server counts the
//! runs of each id.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use ident::RequestId;
use serde::{Deserialize, Serialize};
use tokio::{sync::Semaphore, task::JoinHandle};

pub use crate::fault::Fault;
use crate::{
    fault::Faults,
    serve::{self, Handler, json},
};

/// Header that carries the id of a request.
pub const REQUEST_HEADER: &str = "primrosemux-request";
/// Header that carries the kind of a request.
pub const KIND_HEADER: &str = "primrosemux-kind";

/// Options of a stand-in executor.
#[derive(Debug, Clone)]
pub struct ExecutorOptions {
    /// Name that its answers contain.
    pub name: String,
    /// Requests that it runs concurrently.
    pub slots: usize,
    /// Maximum number of connections.
    pub connections: usize,
}

/// A running executor; it stops when the handle is dropped.
#[derive(Debug)]
pub struct ExecutorServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

/// Answer to a completed request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunAnswer {
    /// Executor that ran the request.
    pub executor: String,
    /// Id of the request.
    pub request: RequestId,
    /// Kind of the request.
    pub kind: String,
}

#[derive(Debug)]
struct Shared {
    name: String,
    slots: Semaphore,
    faults: Arc<Faults>,
    runs: Mutex<BTreeMap<RequestId, u32>>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
struct RunBody {
    #[serde(default)]
    run_ms: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Failure {
    error: &'static str,
}

impl ExecutorServer {
    /// Starts an executor on an ephemeral port of 127.0.0.1.
    pub async fn start(options: ExecutorOptions) -> eyre::Result<ExecutorServer> {
        ExecutorServer::start_at(options, serve::ANY_PORT).await
    }

    /// Starts an executor on a loopback address.
    pub async fn start_at(
        options: ExecutorOptions,
        address: SocketAddr,
    ) -> eyre::Result<ExecutorServer> {
        let listener = serve::bind(address).await.wrap_err("cannot bind the executor's port")?;
        let address = listener.local_addr().wrap_err("cannot read the executor's address")?;
        let faults = Arc::new(Faults::new());
        let shared = Arc::new(Shared {
            name: options.name,
            slots: Semaphore::new(options.slots),
            faults: Arc::clone(&faults),
            runs: Mutex::new(BTreeMap::new()),
        });
        let server = serve::serve(listener, options.connections, faults, Arc::clone(&shared));
        Ok(ExecutorServer { address, shared, task: tokio::spawn(server) })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of runs of the request.
    pub fn runs(&self, id: RequestId) -> u32 {
        self.shared.runs().get(&id).copied().unwrap_or(0)
    }

    /// Total number of runs.
    pub fn total_runs(&self) -> u32 {
        self.shared.runs().values().sum()
    }

    /// Requests that were run more than once.
    pub fn double_runs(&self) -> Vec<RequestId> {
        let runs = self.shared.runs();
        runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| *id).collect()
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.faults.open()
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

impl Drop for ExecutorServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn runs(&self) -> MutexGuard<'_, BTreeMap<RequestId, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn health(&self) -> Response<Full<Bytes>> {
        self.faults.delay_answer().await;
        Response::new(Full::default())
    }

    async fn run(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let id = header(request.headers(), REQUEST_HEADER).and_then(|it| it.parse().ok());
        let kind = header(request.headers(), KIND_HEADER).unwrap_or_default().to_owned();
        let Some(id) = id else {
            return failure(StatusCode::BAD_REQUEST, "primrosemux-request must be a UUIDv7");
        };
        let Ok(body) = request.into_body().collect().await else {
            return failure(StatusCode::BAD_REQUEST, "the body ended early");
        };
        let body: RunBody = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();

        *self.runs().entry(id).or_default() += 1;
        if self.faults.current() == Fault::FailAll {
            return failure(StatusCode::INTERNAL_SERVER_ERROR, "this executor fails everything");
        }
        let run = Arc::clone(&self).run_in_slot(Duration::from_millis(body.run_ms));
        // A run continues after its client disconnects.
        tokio::spawn(run).await.expect("a run does not panic");
        self.faults.delay_answer().await;
        json(StatusCode::OK, &RunAnswer { executor: self.name.clone(), request: id, kind })
    }

    async fn run_in_slot(self: Arc<Self>, declared: Duration) {
        let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
        tokio::select! {
            () = tokio::time::sleep(self.faults.run_time(declared)) => {}
            () = self.faults.down() => {}
        }
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => self.health().await,
            (&Method::POST, "/run") => self.run(request).await,
            _ => failure(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn failure(status: StatusCode, error: &'static str) -> Response<Full<Bytes>> {
    json(status, &Failure { error })
}
