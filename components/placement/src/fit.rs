//! Whether any worker is large enough for a task.

use std::fmt;

use crate::Resources;

/// No active worker of the inventory is large enough for a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CannotFit {
    /// Field of the task that is too large, such as `memory_mb`.
    pub field: &'static str,
    /// Amount that the task declares.
    pub wanted: u32,
    /// Largest amount of any worker that has enough of the fields checked before.
    pub largest: u32,
    /// Name of that worker, empty if the inventory has no active one.
    pub worker: String,
}

/// Distinct capacities of the active workers.
#[derive(Debug, Default)]
pub(crate) struct Shapes {
    shapes: Vec<Shape>,
}

#[derive(Debug)]
struct Shape {
    capacity: Resources,
    worker: String,
}

/// A field of [`Resources`].
struct Field {
    name: &'static str,
    amount: fn(&Resources) -> u32,
}

/// Fields in the order in which they are checked, the scarcest first.
const FIELDS: [Field; 3] = [
    Field { name: "accelerators", amount: |it| it.accelerators },
    Field { name: "cores", amount: |it| it.cores },
    Field { name: "memory_mb", amount: |it| it.memory_mb },
];

impl Shapes {
    /// Adds the capacity of an active worker.
    pub(crate) fn add(&mut self, capacity: Resources, worker: &str) {
        if self.shapes.iter().all(|shape| shape.capacity != capacity) {
            self.shapes.push(Shape { capacity, worker: worker.to_owned() });
        }
    }

    /// Checks that some worker is large enough.
    pub(crate) fn check(&self, size: Resources) -> Result<(), CannotFit> {
        let mut fitting: Vec<&Shape> = self.shapes.iter().collect();
        for Field { name, amount } in FIELDS {
            let largest = fitting.iter().copied().max_by_key(|shape| amount(&shape.capacity));
            fitting.retain(|shape| amount(&shape.capacity) >= amount(&size));
            if fitting.is_empty() {
                return Err(CannotFit {
                    field: name,
                    wanted: amount(&size),
                    largest: largest.map_or(0, |shape| amount(&shape.capacity)),
                    worker: largest.map_or_else(String::new, |shape| shape.worker.clone()),
                });
            }
        }
        Ok(())
    }
}

impl fmt::Display for CannotFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CannotFit { field, wanted, largest, worker } = self;
        if worker.is_empty() {
            return f.write_str("the inventory has no active worker; publish one that has");
        }
        write!(
            f,
            "{field} is {wanted}, but {worker:?}, the largest worker for such a task, has \
             {largest}; declare at most that"
        )
    }
}

impl std::error::Error for CannotFit {}
