//! Reservations and the choice of workers.

use config::Inventory;
use ident::{NodeId, RequestId, Timestamp};
use std::time::Duration;
use wire::{AgentReport, TaskSpec};

use crate::{CannotFit, Resources};

/// Workers, what is known of their load, and reservations on them.
#[derive(Debug)]
pub struct Placer {
    _zone: String,
}

/// Worker chosen for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Node beside the worker.
    pub node: NodeId,
    /// What the worker has left.
    pub left: Resources,
}

/// Workers chosen for tasks, in task order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Choice for each task, `None` where no worker has room at present.
    pub choices: Vec<Option<Choice>>,
}

impl Placer {
    /// Starts with no workers; `availability_zone` is preferred, `seed` breaks ties.
    pub fn new(availability_zone: &str, _seed: u64) -> Placer {
        Placer { _zone: availability_zone.to_owned() }
    }

    /// Takes over the workers of a new inventory and keeps what is known of the old ones.
    pub fn set_inventory(&mut self, _inventory: &Inventory) {}

    /// Learns where a worker is reached and how many of its cores are busy (`load`).
    pub fn on_report(&mut self, _report: &AgentReport, _now: Timestamp) {}

    /// Stops placing on a node that left or died.
    pub fn remove(&mut self, _node: NodeId) {}

    /// Whether some active worker of the inventory is large enough for the task.
    pub fn can_ever_fit(&self, _task: &TaskSpec) -> Result<(), CannotFit> {
        Ok(())
    }

    /// Chooses workers for tasks of one job and reserves room on them.
    pub fn place(&mut self, tasks: &[&TaskSpec], _now: Timestamp) -> Placement {
        Placement { choices: vec![None; tasks.len()] }
    }

    /// Gives back the room that a task had reserved.
    pub fn release(&mut self, _node: NodeId, _task: &TaskSpec) {}

    /// Records that the worker refused a start, so that others are tried first.
    pub fn on_refused(&mut self, _node: NodeId, _now: Timestamp) {}

    /// Records that a task succeeded in `took`, where `declared` was expected.
    pub fn on_done(&mut self, _node: NodeId, _declared: Duration, _took: Duration) {}

    /// Records that a task of `job` failed.
    pub fn on_failed(&mut self, _node: NodeId, _job: RequestId, _now: Timestamp) {}
}
