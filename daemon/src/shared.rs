//! What the actor of a node shows to the rest of the process.

use std::{
    fmt,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use front::Readiness;
use metrics::Metrics;

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

    /// Notes that the configuration of the given version is in force.
    pub(crate) fn set_version(&self, version: u64) {
        let mut readiness = self.lock_readiness();
        readiness.version = version;
        if version > 0 && !is_stopping(&readiness) {
            readiness.ready = true;
            readiness.reason = None;
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
