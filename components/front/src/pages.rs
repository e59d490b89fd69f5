//! Monitoring pages: health, readiness and metrics.

use std::{fmt, sync::Arc};

use serde::Serialize;

/// Sources of the pages `/ready` and `/metrics`.
#[derive(Clone)]
pub struct Pages {
    readiness: Arc<dyn Fn() -> Readiness + Send + Sync>,
    metrics: Arc<dyn Fn() -> String + Send + Sync>,
}

/// Whether the node can serve requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Readiness {
    /// Whether it can.
    pub ready: bool,
    /// Version of the configuration in force on the node; 0 for none.
    pub version: u64,
    /// Why the node is not ready; none if it is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

impl Pages {
    /// Creates pages that call a closure for each request.
    pub fn new(
        readiness: impl Fn() -> Readiness + Send + Sync + 'static,
        metrics: impl Fn() -> String + Send + Sync + 'static,
    ) -> Pages {
        Pages { readiness: Arc::new(readiness), metrics: Arc::new(metrics) }
    }

    /// Present readiness of the node.
    pub fn readiness(&self) -> Readiness {
        (self.readiness)()
    }

    /// Metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        (self.metrics)()
    }
}

impl fmt::Debug for Pages {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pages").finish_non_exhaustive()
    }
}
