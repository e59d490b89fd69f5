//! Tasks of a job that are not placed yet.

use wire::TaskSpec;

use crate::Resources;

/// Tasks that are not placed yet, the largest first.
#[derive(Debug, Default)]
pub(crate) struct PendingTasks {
    tasks: Vec<PendingTask>,
    total: Resources,
}

/// A task that is not placed yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingTask {
    /// Position among the tasks to place.
    pub(crate) index: usize,
    pub(crate) size: Resources,
}

impl PendingTasks {
    /// Sorts the tasks by accelerators, cores and memory.
    pub(crate) fn new(tasks: &[&TaskSpec]) -> PendingTasks {
        let sizes = tasks.iter().map(|task| Resources::of(task)).enumerate();
        let mut tasks: Vec<PendingTask> =
            sizes.map(|(index, size)| PendingTask { index, size }).collect();
        tasks.sort_by_key(|task| {
            let Resources { cores, memory_mb, accelerators } = task.size;
            std::cmp::Reverse((accelerators, cores, memory_mb))
        });
        let total = tasks.iter().fold(Resources::default(), |sum, task| sum.plus(task.size));
        PendingTasks { tasks, total }
    }

    /// Whether all tasks are placed.
    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Size of the largest task.
    pub(crate) fn largest(&self) -> Option<Resources> {
        self.tasks.first().map(|task| task.size)
    }

    /// Total size of the tasks.
    pub(crate) fn total(&self) -> Resources {
        self.total
    }

    /// Removes and returns the tasks for which `fits` is true, the largest first.
    pub(crate) fn take(&mut self, mut fits: impl FnMut(Resources) -> bool) -> Vec<PendingTask> {
        let mut taken = Vec::new();
        self.tasks.retain(|task| {
            let take = fits(task.size);
            if take {
                taken.push(*task);
            }
            !take
        });
        for task in &taken {
            self.total = self.total.minus(task.size);
        }
        taken
    }

    /// Adds tasks again that were taken.
    pub(crate) fn put_back(&mut self, tasks: Vec<PendingTask>) {
        for task in &tasks {
            self.total = self.total.plus(task.size);
        }
        self.tasks.extend(tasks);
    }
}
