//! Resources that a worker has and a task needs.

use std::fmt;

use wire::TaskSpec;

/// Cores, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Resources that the task declares.
    pub fn of(task: &TaskSpec) -> Resources {
        Resources { cores: task.cores, memory_mb: task.memory_mb, accelerators: task.accelerators }
    }

    /// Whether `room` has enough of each field.
    pub fn fits(self, room: Resources) -> bool {
        self.cores <= room.cores
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// A quarter of the cores and memory, and all accelerators.
    pub fn quarter(self) -> Resources {
        Resources { cores: self.cores / 4, memory_mb: self.memory_mb / 4, ..self }
    }

    /// Whether both need accelerators or neither does.
    pub fn needs_accelerators_like(self, other: Resources) -> bool {
        (self.accelerators > 0) == (other.accelerators > 0)
    }

    /// The larger value of each field.
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.max(other.cores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The sum of each field; saturates.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.saturating_add(other.cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference of each field; saturates at zero.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.saturating_sub(other.cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources { cores, memory_mb, accelerators } = self;
        write!(f, "{cores} cores, {memory_mb} MB, {accelerators} accelerators")
    }
}
