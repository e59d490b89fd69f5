//! Chooses endpoints for the tasks of a job.
//!
//! A job ends with its last task, so each task goes where it is expected to end first. Of
//! equally fast endpoints the one with the most free capacity is chosen, which limits the
//! number of tasks lost in a crash. The choice between nearly equal endpoints is random, since
//! several entries choose at the same moment from the same reports.

use std::net::SocketAddrV4;

use mesh::Uptime;
use rand::{Rng, RngExt};

use crate::{
    agents::{Agents, FreeCapacity},
    job::{Step, Task},
};

/// Penalty for an endpoint in another availability zone, in percent of the run time.
const OTHER_ZONE_PENALTY_PERCENT: u64 = 2;
/// Penalty for an endpoint that is not on the rack of the data, in percent of the run time.
const OTHER_RACK_PENALTY_PERCENT: u64 = 50;
/// Penalty for a fully used endpoint, in percent of the run time; keeps capacity free for
/// large tasks.
const USAGE_PENALTY_PERCENT: u64 = 30;
/// Exclusive bound of the random share that is added to each cost, in percent; it makes the choice
/// between nearly equal endpoints random.
const JITTER_PERCENT: u64 = 6;
/// Scale of costs; a larger integer loses less when the jitter is applied and rounded.
const COST_SCALE: u64 = 10;

/// Endpoints that accept tasks of one service at present.
#[derive(Debug)]
pub(crate) struct Candidates<'a> {
    list: Vec<Candidate<'a>>,
}

#[derive(Debug)]
struct Candidate<'a> {
    agent: SocketAddrV4,
    free: FreeCapacity,
    capacity: u32,
    slowdown: u64,
    other_zone: bool,
    labels: &'a [String],
}

impl<'a> Candidates<'a> {
    /// Collects the candidates for `service` among `agents`, seen from availability zone `zone`.
    pub(crate) fn new(
        agents: &'a Agents,
        now: Uptime,
        service: &str,
        zone: &str,
    ) -> Candidates<'a> {
        let serving = agents.iter().filter(|(_, agent)| agent.serves(now, service));
        let list = serving
            .filter_map(|(address, agent)| {
                let info = agent.report.endpoint.as_ref()?;
                Some(Candidate {
                    agent: *address,
                    free: agent.free_capacity(),
                    capacity: info.cpu.max(1),
                    slowdown: agent.report.slowness.max(1).into(),
                    other_zone: agent.zone != zone,
                    labels: &info.labels,
                })
            })
            .collect();
        Candidates { list }
    }

    /// Total capacity of the candidates, in thousandths of a core.
    pub(crate) fn capacity(&self) -> u64 {
        self.list.iter().map(|it| u64::from(it.capacity)).sum()
    }

    /// Whether any candidate could run a task of `step` when idle.
    pub(crate) fn can_run(&self, step: &Step) -> bool {
        self.list.iter().any(|it| it.can_run(step))
    }

    /// Reserves resources for a task at the endpoint of least cost.
    pub(crate) fn reserve(
        &mut self,
        step: &Step,
        task: &Task,
        full: &[SocketAddrV4],
        rng: &mut impl Rng,
    ) -> Option<SocketAddrV4> {
        let eligible = |it: &&mut Candidate<'_>| {
            it.fits(step) && !task.excluded.contains(&it.agent) && !full.contains(&it.agent)
        };
        let scored = self.list.iter_mut().filter(eligible).map(|it| {
            let cost = it.cost(step) * (100 + rng.random_range(0..JITTER_PERCENT)) / 100;
            (cost, it)
        });
        let (_, best) = scored.min_by_key(|(cost, _)| *cost)?;
        best.free.cpu -= step.cpu;
        best.free.memory -= step.memory;
        best.free.gpus -= step.gpus;
        best.free.max_tasks -= 1;
        Some(best.agent)
    }
}

impl Candidate<'_> {
    fn can_run(&self, step: &Step) -> bool {
        step.label.as_ref().is_none_or(|label| self.labels.contains(label))
            && self.capacity >= step.cpu
    }

    fn fits(&self, step: &Step) -> bool {
        let free = &self.free;
        free.max_tasks > 0
            && free.cpu >= step.cpu
            && free.memory >= step.memory
            && free.gpus >= step.gpus
            && self.can_run(step)
    }

    /// Expected run time on a relative scale, with penalties and scaled by [`COST_SCALE`].
    fn cost(&self, step: &Step) -> u64 {
        let used = u64::from(self.capacity.saturating_sub(self.free.cpu));
        let mut penalty = USAGE_PENALTY_PERCENT * used / u64::from(self.capacity);
        if self.other_zone {
            penalty += OTHER_ZONE_PENALTY_PERCENT;
        }
        if step.rack.as_ref().is_some_and(|rack| !self.labels.contains(rack)) {
            penalty += OTHER_RACK_PENALTY_PERCENT;
        }
        self.slowdown * (100 + penalty) * COST_SCALE
    }
}
