//! All jobs that an agent coordinates.

use config::Inventory;
use ident::{RequestId, Timestamp};
use placement::Placer;
use wire::{JobSpec, JobStatus};

use crate::{Action, TaskResult};

/// All jobs that an agent coordinates.
#[derive(Debug)]
pub struct Jobs {
    placer: Placer,
}

impl Jobs {
    /// Starts with no jobs; tasks go where `placer` says.
    pub fn new(placer: Placer) -> Jobs {
        Jobs { placer }
    }

    /// The placer, to be told of reports and of nodes that are gone.
    pub fn placer(&mut self) -> &mut Placer {
        &mut self.placer
    }

    /// Takes over workers and urgencies of a new inventory.
    pub fn set_inventory(&mut self, inventory: &Inventory) {
        self.placer.set_inventory(inventory);
    }

    /// Starts a job that its owner has decided to start; a job that runs is left alone.
    pub fn submit(&mut self, _spec: JobSpec, _now: Timestamp) -> Vec<Action> {
        Vec::new()
    }

    /// Takes the result of a task that was started.
    pub fn on_task(
        &mut self,
        _job: RequestId,
        _index: u32,
        _result: TaskResult,
        _now: Timestamp,
    ) -> Vec<Action> {
        Vec::new()
    }

    /// Ends a job and stops its tasks.
    pub fn cancel(&mut self, _job: RequestId, _now: Timestamp) -> Vec<Action> {
        Vec::new()
    }

    /// Ends jobs whose deadline has passed, renews leases and starts waiting tasks.
    pub fn tick(&mut self, _now: Timestamp) -> Vec<Action> {
        Vec::new()
    }

    /// State of a job that runs.
    pub fn status(&self, _job: RequestId) -> Option<JobStatus> {
        None
    }

    /// Number of jobs that run.
    pub fn len(&self) -> usize {
        0
    }

    /// Whether no job runs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
