//! Starts and ends of tasks, to find a task that starts again after it was done.

use std::collections::HashMap;

use mesh::{JobId, RunKey};

/// What endpoints have run, by task.
#[derive(Debug, Default)]
pub(crate) struct History {
    tasks: HashMap<(JobId, u16, u16), TaskHistory>,
}

/// Runs of a task in the newest submission of its job.
#[derive(Debug, Clone, Copy)]
struct TaskHistory {
    /// Number of the submission.
    sends: Option<u32>,
    first_start: u64,
    last_start: u64,
    /// Whether a run has ended as done and its end was acknowledged.
    done: bool,
}

impl History {
    /// Records the start of a run; returns whether the task was done before. `sends` is how often
    /// the job was sent, or `None` if it has its final answer.
    pub(crate) fn record_start(&mut self, now: u64, key: RunKey, sends: Option<u32>) -> bool {
        let new = TaskHistory { sends, first_start: now, last_start: now, done: false };
        let task = self.tasks.entry((key.job, key.step, key.index)).or_insert(new);
        if sends.is_some() && sends != task.sends {
            *task = new;
        }
        task.last_start = now;
        task.done
    }

    /// Records the acknowledgement of a run that ended as done at `at`; returns whether the task
    /// has started again since.
    pub(crate) fn record_done(&mut self, at: u64, key: RunKey) -> bool {
        let Some(task) = self.tasks.get_mut(&(key.job, key.step, key.index)) else { return false };
        // The run belonged to an earlier submission.
        if at < task.first_start {
            return false;
        }
        let repeated = !task.done && task.last_start >= at;
        task.done = true;
        repeated
    }
}
