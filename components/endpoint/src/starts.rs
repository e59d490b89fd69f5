//! Tracks task starts that wait for their answers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use ident::RequestId;
use tokio::sync::Notify;

/// Time within which the answer must arrive after its task has ended.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Identifies a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct TaskId {
    pub(crate) job: RequestId,
    pub(crate) index: u32,
}

/// Task starts that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct PendingStarts {
    waiting: Mutex<HashMap<TaskId, Arc<Notify>>>,
}

/// A task start that waits for its answer; it is removed on drop.
#[derive(Debug)]
pub(crate) struct PendingStart<'a> {
    starts: &'a PendingStarts,
    task: TaskId,
    ended: Arc<Notify>,
}

impl PendingStarts {
    /// Adds a start.
    pub(crate) fn add(&self, task: TaskId) -> PendingStart<'_> {
        let ended = Arc::new(Notify::new());
        self.waiting().insert(task, Arc::clone(&ended));
        PendingStart { starts: self, task, ended }
    }

    /// Records that the worker no longer runs a task.
    pub(crate) fn mark_ended(&self, task: TaskId) {
        if let Some(ended) = self.waiting().get(&task) {
            ended.notify_one();
        }
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<TaskId, Arc<Notify>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PendingStart<'_> {
    /// Completes once the task has ended and the grace period for its answer has passed.
    pub(crate) async fn wait_overdue(&self) {
        self.ended.notified().await;
        tokio::time::sleep(ANSWER_GRACE).await;
    }
}

impl Drop for PendingStart<'_> {
    fn drop(&mut self) {
        self.starts.waiting().remove(&self.task);
    }
}
