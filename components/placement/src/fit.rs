//! Why a task can never run.

use std::fmt;

/// No worker of the inventory is large enough for a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CannotFit {
    /// Field of the task that is too large, such as `memory_mb`.
    pub field: &'static str,
    /// Amount that the task declares.
    pub wanted: u32,
    /// Amount that the closest worker has.
    pub largest: u32,
    /// Name of that worker, empty if the inventory has none.
    pub worker: String,
}

impl fmt::Display for CannotFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CannotFit { field, wanted, largest, worker } = self;
        if worker.is_empty() {
            return f.write_str("the inventory has no active workers; publish one that has");
        }
        write!(
            f,
            "{field} is {wanted}, but {worker:?}, the worker that comes closest, has {largest}; \
             declare at most that"
        )
    }
}

impl std::error::Error for CannotFit {}
