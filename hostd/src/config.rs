//! Current configuration, shared by all connections of a process.

use std::sync::{Arc, PoisonError, RwLock};

use broker::Config;
use mesh::Evacuations;
use platform::{ConfigReader, OperatorUpdate};

use crate::metrics::Metrics;

/// Current configuration; none until the first has been read.
#[derive(Debug, Default)]
pub(crate) struct CurrentConfig {
    config: RwLock<Option<Arc<Config>>>,
}

impl CurrentConfig {
    /// The current configuration, if there is one.
    pub(crate) fn get(&self) -> Option<Arc<Config>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set(&self, config: Config) {
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(config));
    }
}

/// Applies each newer configuration, and passes newer evacuations to `sink`, for as long as the
/// process runs.
pub(crate) async fn follow_config(
    mut reader: ConfigReader,
    current: Arc<CurrentConfig>,
    metrics: Arc<Metrics>,
    mut sink: impl FnMut(Evacuations),
) {
    loop {
        let config = match reader.next().await {
            OperatorUpdate::Config(config) => config,
            OperatorUpdate::Evacuations(state) => {
                sink(state);
                continue;
            }
        };
        log::info!(
            version = config.version, offset = config.offset, routes = config.routes.len();
            "a configuration is in force"
        );
        metrics.version.set(i64::try_from(config.version).unwrap_or(i64::MAX));
        current.set(config);
    }
}
