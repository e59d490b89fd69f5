//! Tokio tasks whose lifetime is bound to a node.

use tokio_util::sync::CancellationToken;

/// Spawns tasks that are cancelled when the node ends; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tasks {
    ended: CancellationToken,
}

impl Tasks {
    /// Runs `task` until it completes or the node ends.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let ended = self.ended.clone();
        tokio::spawn(async move {
            ended.run_until_cancelled(task).await;
        });
    }

    /// Cancels all tasks.
    pub(crate) fn end(&self) {
        self.ended.cancel();
    }
}
