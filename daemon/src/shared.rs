//! State of a node that is read outside its actor.

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

/// Metrics, readiness and counts of work in progress.
pub(crate) struct Shared {
    metrics: Mutex<Metrics>,
    readiness: Mutex<Readiness>,
    calls: AtomicUsize,
    runs: AtomicUsize,
}

/// Work in progress on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Callers' requests without an answer.
    pub requests: usize,
    /// Peers' calls without a reply.
    pub calls: usize,
    /// Requests and tasks running on the endpoint.
    pub runs: usize,
}

impl Shared {
    /// Creates the state of a node that has no configuration and no work in progress.
    pub(crate) fn new() -> Shared {
        Shared {
            metrics: Mutex::new(Metrics::new()),
            readiness: Mutex::new(not_ready(0, "the node has no configuration yet")),
            calls: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
        }
    }

    /// Locks the metrics.
    pub(crate) fn metrics(&self) -> MutexGuard<'_, Metrics> {
        self.metrics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the node can serve requests.
    pub(crate) fn readiness(&self) -> Readiness {
        self.lock_readiness().clone()
    }

    /// Updates the version in force and whether its services can be served.
    pub(crate) fn set_state(&self, state: &State) {
        let mut readiness = self.lock_readiness();
        let version = state.version();
        if is_stopping(&readiness) {
            readiness.version = version;
        } else if version > 0 {
            *readiness = match service_without_owner(state) {
                Some(_) => not_ready(version, NO_OWNER),
                None => Readiness { version, ready: true, reason: None },
            };
        }
    }

    /// Marks the node as stopping; it is not ready from then on.
    pub(crate) fn set_stopping(&self) {
        let mut readiness = self.lock_readiness();
        *readiness = not_ready(readiness.version, STOPPING);
    }

    /// Peers' calls without a reply.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Requests and tasks running on the endpoint.
    pub(crate) fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }

    /// Counts a call from a peer.
    pub(crate) fn start_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops counting a call, which now has a reply.
    pub(crate) fn end_call(&self) {
        self.calls.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts a request or task that starts on the endpoint.
    pub(crate) fn start_run(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops counting a request or task that has ended on the endpoint.
    pub(crate) fn end_run(&self) {
        self.runs.fetch_sub(1, Ordering::Relaxed);
    }

    fn lock_readiness(&self) -> MutexGuard<'_, Readiness> {
        self.readiness.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reason why a stopping node is not ready.
const STOPPING: &str = "the node is stopping";

/// Reason why a node is not ready while it would refuse some ids of a service.
const NO_OWNER: &str = "not every shard of the services has an owner yet";

/// First service that has a shard without an owner.
fn service_without_owner(state: &State) -> Option<&str> {
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
        write!(f, "{requests} caller requests, {calls} peer calls and {runs} endpoint runs")
    }
}
