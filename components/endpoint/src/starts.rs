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
pub(crate) struct TaskName {
    pub(crate) job: RequestId,
    pub(crate) index: u32,
}

/// Task starts that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct Starts {
    waiting: Mutex<HashMap<TaskName, Arc<Notify>>>,
}

/// A task start that waits for its answer; it is removed on drop.
#[derive(Debug)]
pub(crate) struct Start<'a> {
    starts: &'a Starts,
    name: TaskName,
    ended: Arc<Notify>,
}

impl Starts {
    /// Adds a start.
    pub(crate) fn add(&self, name: TaskName) -> Start<'_> {
        let ended = Arc::new(Notify::new());
        self.waiting().insert(name, Arc::clone(&ended));
        Start { starts: self, name, ended }
    }

    /// Records that the worker no longer runs a task.
    pub(crate) fn end(&self, name: TaskName) {
        if let Some(ended) = self.waiting().get(&name) {
            ended.notify_one();
        }
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<TaskName, Arc<Notify>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Start<'_> {
    /// Completes once the task has ended and the grace period for its answer has passed.
    pub(crate) async fn overdue(&self) {
        self.ended.notified().await;
        tokio::time::sleep(ANSWER_GRACE).await;
    }
}

impl Drop for Start<'_> {
    fn drop(&mut self) {
        self.starts.waiting().remove(&self.name);
    }
}
