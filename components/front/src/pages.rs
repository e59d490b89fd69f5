//! Pages for operators and their monitoring.

use std::{fmt, sync::Arc};

use serde::Serialize;

/// Sources of the pages `/health`, `/ready` and `/metrics`.
#[derive(Clone)]
pub struct Pages {
    readiness: Arc<dyn Fn() -> Readiness + Send + Sync>,
    metrics: Arc<dyn Fn() -> String + Send + Sync>,
}

/// Whether the node can serve requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Readiness {
    /// Whether it should get requests.
    pub ready: bool,
    /// Version of the configuration in force on it, 0 for none.
    pub version: u64,
    /// Why it is not ready, if it is not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

impl Pages {
    /// Takes the pages from two closures.
    pub fn new(
        readiness: impl Fn() -> Readiness + Send + Sync + 'static,
        metrics: impl Fn() -> String + Send + Sync + 'static,
    ) -> Pages {
        Pages { readiness: Arc::new(readiness), metrics: Arc::new(metrics) }
    }

    /// Whether the node can serve requests now.
    pub fn readiness(&self) -> Readiness {
        (self.readiness)()
    }

    /// Metrics in the text format of Prometheus.
    pub fn metrics(&self) -> String {
        (self.metrics)()
    }
}

impl fmt::Debug for Pages {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pages").finish_non_exhaustive()
    }
}
