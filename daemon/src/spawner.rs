//! Tokio tasks whose lifetime is bound to a node.

use tokio_util::sync::CancellationToken;

/// Spawns tasks that are cancelled when the node ends; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Spawner {
    cancelled: CancellationToken,
}

impl Spawner {
    /// Runs `task` until it completes or the node ends.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let cancelled = self.cancelled.clone();
        tokio::spawn(async move {
            cancelled.run_until_cancelled(task).await;
        });
    }

    /// Cancels all tasks.
    pub(crate) fn cancel_all(&self) {
        self.cancelled.cancel();
    }
}
