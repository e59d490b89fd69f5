//! Chooses endpoints for the tasks of a job.
//!
//! A job ends with its last task, so each task goes where it is expected to end first. Of
//! equally fast endpoints the one with the most free capacity is chosen, which limits the
//! number of tasks lost in a crash. The choice between nearly equal endpoints is random, since
//! several entries choose at the same moment from the same reports.

use std::net::SocketAddrV4;

use mesh::{EndpointInfo, Uptime};
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
    info: &'a EndpointInfo,
    slowdown: u64,
    other_zone: bool,
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
                    info,
                    slowdown: agent.report.slowness.max(1).into(),
                    other_zone: agent.zone != zone,
                })
            })
            .collect();
        Candidates { list }
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
    fn fits(&self, step: &Step) -> bool {
        let free = &self.free;
        free.max_tasks > 0
            && free.cpu >= step.cpu
            && free.memory >= step.memory
            && free.gpus >= step.gpus
            && step.can_run_on(self.info)
    }

    /// Expected run time on a relative scale, with penalties and scaled by [`COST_SCALE`].
    fn cost(&self, step: &Step) -> u64 {
        let capacity = self.info.cpu.max(1);
        let used = u64::from(capacity.saturating_sub(self.free.cpu));
        let mut penalty = USAGE_PENALTY_PERCENT * used / u64::from(capacity);
        if self.other_zone {
            penalty += OTHER_ZONE_PENALTY_PERCENT;
        }
        if step.rack.as_ref().is_some_and(|rack| !self.info.labels.contains(rack)) {
            penalty += OTHER_RACK_PENALTY_PERCENT;
        }
        self.slowdown * (100 + penalty) * COST_SCALE
    }
}
