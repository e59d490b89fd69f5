//! Reservations and the choice of workers.

use std::{collections::HashMap, time::Duration};

use config::{Inventory, State};
use ident::{NodeId, RequestId, Timestamp};
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::{SlotMap, new_key_type};
use wire::{AgentReport, TaskSpec};

use crate::{
    CannotFit, Resources,
    fit::Shapes,
    pass::PASSES,
    pending::PendingTasks,
    reported_load::ReportedLoad,
    worker::{Tier, Worker},
};

/// Time for which a worker that refused a start is skipped; it doubles with each
/// refusal in a row.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// Largest number of doublings of the pause.
const MAX_PAUSE_DOUBLINGS: u32 = 6;
/// Multiple of the expected run time above which a task is slow.
const SLOW_RATIO: f64 = 4.0;
/// Weight of the newest sample in the ratio of actual to declared run times.
const RUN_RATIO_WEIGHT: f64 = 0.02;
/// Declared run times below this are taken as this, as they are too short to
/// compare.
const MIN_DECLARED: Duration = Duration::from_millis(10);
/// Memory of a worker is declared in GB, that of a task in MB.
const MB_PER_GB: u32 = 1024;

new_key_type! {
    /// Key of a worker.
    pub(crate) struct WorkerKey;
}

/// Workers with their reported load and the reservations on them.
#[derive(Debug)]
pub struct Placer {
    zone: String,
    pub(crate) rng: SmallRng,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    names: HashMap<String, WorkerKey>,
    pub(crate) nodes: HashMap<NodeId, WorkerKey>,
    /// Workers of the own availability zone, and those of the others.
    pub(crate) search_order: [Vec<WorkerKey>; 2],
    shapes: Shapes,
    pub(crate) reported_load: ReportedLoad,
    eject_percent: u32,
    /// Moving average of the ratio of actual to declared run times.
    run_ratio: f64,
}

/// Worker chosen for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Node of the worker's agent.
    pub node: NodeId,
    /// Room that the worker has left.
    pub left: Resources,
}

/// Workers chosen for tasks, in task order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Choice for each task; `None` if no worker has room at present.
    pub choices: Vec<Option<Choice>>,
}

impl Placer {
    /// Creates a placer without workers that prefers those of `availability_zone`;
    /// `seed` sets where its searches start.
    pub fn new(availability_zone: &str, seed: u64) -> Placer {
        Placer {
            zone: availability_zone.to_owned(),
            rng: SmallRng::seed_from_u64(seed),
            workers: SlotMap::with_key(),
            names: HashMap::new(),
            nodes: HashMap::new(),
            search_order: [Vec::new(), Vec::new()],
            shapes: Shapes::default(),
            reported_load: ReportedLoad::default(),
            eject_percent: 0,
            run_ratio: 1.0,
        }
    }

    /// Applies a new inventory; workers that it still names keep their state.
    pub fn set_inventory(&mut self, inventory: &Inventory) {
        self.eject_percent = inventory.rules.eject_percent;
        self.shapes = Shapes::default();
        self.search_order = [Vec::new(), Vec::new()];
        let mut old = std::mem::take(&mut self.names);
        for declared in &inventory.workers {
            let key =
                old.remove(&declared.name).unwrap_or_else(|| self.workers.insert(Worker::new()));
            let zone = inventory.rack_zone(&declared.rack).unwrap_or_default();
            let worker = &mut self.workers[key];
            worker.capacity = capacity(declared);
            worker.rack.clone_from(&declared.rack);
            worker.zone = zone.to_owned();
            worker.state = declared.state;
            if declared.state == State::Active {
                self.shapes.add(worker.capacity, &declared.name);
            }
            self.search_order[usize::from(zone != self.zone)].push(key);
            self.names.insert(declared.name.clone(), key);
        }
        for key in old.into_values() {
            let removed = self.workers.remove(key);
            self.reported_load.remove(removed.map_or(0, |worker| worker.other_cores));
        }
        self.nodes.retain(|_, key| self.workers.contains_key(*key));
    }

    /// Applies an agent's report: the worker's node, its busy cores, and whether it
    /// is leaving.
    pub fn on_report(&mut self, report: &AgentReport, now: Timestamp) {
        let Some(key) = self.names.get(&report.name) else { return };
        let worker = &mut self.workers[*key];
        let moved_from = worker.node.replace(report.node).filter(|node| *node != report.node);
        worker.leaving = report.leaving;
        let other_cores = report.load.busy.saturating_sub(worker.reserved.cores);
        self.reported_load.replace(worker.other_cores, other_cores, now);
        worker.other_cores = other_cores;
        worker.reported_at = now;
        if let Some(node) = moved_from {
            self.nodes.remove(&node);
        }
        self.nodes.insert(report.node, *key);
    }

    /// Removes a node that left or died, with the reservations on its worker.
    pub fn remove(&mut self, node: NodeId) {
        let Some(key) = self.nodes.remove(&node) else { return };
        let worker = &mut self.workers[key];
        worker.node = None;
        worker.reserved = Resources::default();
        self.reported_load.remove(worker.other_cores);
        worker.other_cores = 0;
    }

    /// Checks that some active worker of the inventory is large enough for the task.
    pub fn can_ever_fit(&self, task: &TaskSpec) -> Result<(), CannotFit> {
        self.shapes.check(Resources::of(task))
    }

    /// Chooses workers for the tasks of one job and reserves room on them.
    pub fn place(&mut self, tasks: &[&TaskSpec], now: Timestamp) -> Placement {
        let mut pending = PendingTasks::new(tasks);
        let mut placement = Placement { choices: vec![None; tasks.len()] };
        let mut racks = Vec::new();
        for pass in PASSES {
            if pending.is_empty() || (pass.tier == Tier::Ejected && !self.too_many_ejected(now)) {
                break;
            }
            self.place_pass(pass, &mut pending, &mut placement, &mut racks, now);
        }
        placement
    }

    /// Places tasks of one job on the given node only, after a task there has ended.
    pub fn place_at(&mut self, node: NodeId, tasks: &[&TaskSpec], now: Timestamp) -> Placement {
        let mut pending = PendingTasks::new(tasks);
        let mut placement = Placement { choices: vec![None; tasks.len()] };
        let Some(key) = self.nodes.get(&node).copied() else { return placement };
        for pass in PASSES {
            if pass.tier != Tier::Ejected {
                self.fill(key, pass, &mut pending, &mut placement, now);
            }
        }
        placement
    }

    /// Releases the room that was reserved for a task.
    pub fn release(&mut self, node: NodeId, task: &TaskSpec) {
        if let Some(worker) = self.worker_at(node) {
            worker.reserved = worker.reserved.minus(Resources::of(task));
        }
    }

    /// Records that the worker refused the task, so it has less room than the task
    /// needs.
    pub fn on_refused(&mut self, node: NodeId, task: &TaskSpec, now: Timestamp) {
        let Some(key) = self.nodes.get(&node) else { return };
        let Some(worker) = self.workers.get_mut(*key) else { return };
        worker.paused_until = now + REFUSAL_PAUSE * (1 << worker.refusals);
        worker.refusals = MAX_PAUSE_DOUBLINGS.min(worker.refusals + 1);
        let needed = worker.reserved.cores + task.cores;
        let least = (worker.capacity.cores + 1).saturating_sub(needed);
        if worker.other_cores < least {
            self.reported_load.replace(worker.other_cores, least, now);
            worker.other_cores = least;
            worker.reported_at = now;
        }
    }

    /// Records that a task of `job` succeeded in `took`, where `declared` was expected.
    pub fn on_done(
        &mut self,
        node: NodeId,
        job: RequestId,
        declared: Duration,
        took: Duration,
        now: Timestamp,
    ) {
        let expected = self.run_ratio;
        let ratio = took.as_secs_f64() / declared.max(MIN_DECLARED).as_secs_f64();
        self.run_ratio += RUN_RATIO_WEIGHT * (ratio.min(expected * SLOW_RATIO) - expected);
        let Some(worker) = self.worker_at(node) else { return };
        worker.refusals = 0;
        worker.health.on_done();
        match ratio > expected * SLOW_RATIO {
            true => worker.health.on_slow(job, now),
            false => worker.health.on_normal_speed(),
        }
    }

    /// Records that a task of `job` failed.
    pub fn on_failed(&mut self, node: NodeId, job: RequestId, now: Timestamp) {
        if let Some(worker) = self.worker_at(node) {
            worker.health.on_failed(job, now);
        }
    }

    /// Expected run time of a task with the given declared one.
    pub fn expected_run_time(&self, declared: Duration) -> Duration {
        declared.max(MIN_DECLARED).mul_f64(self.run_ratio)
    }

    fn worker_at(&mut self, node: NodeId) -> Option<&mut Worker> {
        self.workers.get_mut(*self.nodes.get(&node)?)
    }

    fn too_many_ejected(&self, now: Timestamp) -> bool {
        let available = self.workers.values().filter(|worker| worker.takes_work());
        let ejected = available.clone().filter(|worker| worker.health.is_ejected(now)).count();
        ejected * 100 > available.count() * self.eject_percent as usize
    }
}

fn capacity(worker: &config::Worker) -> Resources {
    Resources {
        cores: worker.cores,
        memory_mb: worker.memory_gb.saturating_mul(MB_PER_GB),
        accelerators: worker.accelerators,
    }
}
