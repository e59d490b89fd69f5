//! What the actor of a node shows to the rest of the process.

use std::{
    fmt,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use front::Readiness;
use ident::Group;
use metrics::Metrics;
use register::State;

/// Counts and metrics that are read from outside the actor.
pub(crate) struct Shared {
    metrics: Mutex<Metrics>,
    readiness: Mutex<Readiness>,
    calls: AtomicUsize,
    runs: AtomicUsize,
}

/// What a node has in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Callers' requests that have no answer yet.
    pub requests: usize,
    /// Calls of peers that have no reply yet.
    pub calls: usize,
    /// Requests and tasks that run on the endpoint.
    pub runs: usize,
}

impl Shared {
    /// Starts with nothing in progress and no configuration.
    pub(crate) fn new() -> Shared {
        Shared {
            metrics: Mutex::new(Metrics::new()),
            readiness: Mutex::new(not_ready(0, "the node has no configuration yet")),
            calls: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
        }
    }

    /// The metrics, locked.
    pub(crate) fn metrics(&self) -> MutexGuard<'_, Metrics> {
        self.metrics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the node can serve requests.
    pub(crate) fn readiness(&self) -> Readiness {
        self.lock_readiness().clone()
    }

    /// Notes the configuration in force and whether its services can be served.
    pub(crate) fn set_state(&self, state: &State) {
        let mut readiness = self.lock_readiness();
        let version = state.version();
        if is_stopping(&readiness) {
            readiness.version = version;
        } else if version > 0 {
            *readiness = match unowned_service(state) {
                Some(_) => not_ready(version, UNOWNED),
                None => Readiness { version, ready: true, reason: None },
            };
        }
    }

    /// Notes that the node is stopping.
    pub(crate) fn set_stopping(&self) {
        let mut readiness = self.lock_readiness();
        *readiness = not_ready(readiness.version, STOPPING);
    }

    /// Calls of peers that have no reply yet.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Requests and tasks that run on the endpoint.
    pub(crate) fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }

    /// Notes that a peer has called.
    pub(crate) fn start_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a peer's call has its reply.
    pub(crate) fn end_call(&self) {
        self.calls.fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes that a request or task starts on the endpoint.
    pub(crate) fn start_run(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a request or task has ended on the endpoint.
    pub(crate) fn end_run(&self) {
        self.runs.fetch_sub(1, Ordering::Relaxed);
    }

    fn lock_readiness(&self) -> MutexGuard<'_, Readiness> {
        self.readiness.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a stopping node is not ready.
const STOPPING: &str = "the node is stopping";

/// Why a node is not ready while ids of some service would be refused.
const UNOWNED: &str = "not every shard of the services has an owner yet";

/// Service with a shard that nobody owns.
fn unowned_service(state: &State) -> Option<&str> {
    let config = state.config.as_ref()?;
    let mut names = config.inventory.services.iter().map(|service| service.name.as_str());
    names.find(|name| !state.table.is_complete(&Group::Service((*name).to_owned())))
}

fn is_stopping(readiness: &Readiness) -> bool {
    readiness.reason.as_deref() == Some(STOPPING)
}

fn not_ready(version: u64, reason: &str) -> Readiness {
    Readiness { ready: false, version, reason: Some(reason.to_owned()) }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Progress { requests, calls, runs } = self;
        write!(
            f,
            "{requests} requests of callers, {calls} calls of peers, {runs} runs on the endpoint"
        )
    }
}
