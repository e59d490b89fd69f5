//! Tasks that end with their node.

use tokio_util::sync::CancellationToken;

/// Spawns tasks that end when the node does.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tasks {
    ended: CancellationToken,
}

impl Tasks {
    /// Runs `task` until it is finished or the node ends.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let ended = self.ended.clone();
        tokio::spawn(async move {
            ended.run_until_cancelled(task).await;
        });
    }

    /// Ends all tasks.
    pub(crate) fn end(&self) {
        self.ended.cancel();
    }
}
