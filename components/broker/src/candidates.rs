//! Chooses endpoints for the tasks of a job.
//!
//! A job ends with its last task, so each task goes where it is expected to end first. Of
//! equally fast endpoints the one with the most free capacity is chosen, which limits the
//! number of tasks lost in a crash. The choice between nearly equal endpoints is random, since
//! several entries choose at the same moment from the same reports.

use std::{collections::HashMap, net::SocketAddrV4};

use mesh::{EndpointInfo, Uptime};
use rand::{Rng, RngExt};

use crate::{
    agents::{Agents, FreeCapacity},
    collision::collision_penalty,
    job::{Step, Task},
    locality::{Capacity, FullRack, Locality},
};

/// Penalty for an endpoint in another availability zone, in percent of the run time.
const OTHER_ZONE_PENALTY_PERCENT: u64 = 2;
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
    locality: &'a Locality,
    /// Capacity that the tasks need which wait for a rack, in thousandths of a core.
    waiting: HashMap<String, u32>,
}

/// Where a task goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// To an endpoint, at which its resources are reserved.
    Endpoint(SocketAddrV4),
    /// Nowhere yet, as it is expected to end first if it waits for the rack of its data.
    WaitForRack,
    /// Nowhere, as no endpoint has room.
    NoRoom,
}

/// A task to place, and what is known of its run time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placing<'a> {
    pub(crate) step: &'a Step,
    pub(crate) task: &'a Task,
    /// Expected run time at an endpoint of normal speed, in ms.
    pub(crate) expected: u32,
    pub(crate) own_use: &'a OwnUse,
}

/// Capacity that runs of this entry use, by agent.
pub(crate) type OwnUse = HashMap<SocketAddrV4, UsedCapacity>;

/// Capacity that runs of this entry use at an agent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UsedCapacity {
    /// Thousandths of a core.
    pub(crate) cpu: f64,
    /// Rate at which they are released, in thousandths of a core for each ms.
    pub(crate) release_rate: f64,
}

#[derive(Debug)]
struct Candidate<'a> {
    agent: SocketAddrV4,
    free: FreeCapacity,
    info: &'a EndpointInfo,
    slowdown: u64,
    /// Age of the report, in ms.
    age: u64,
    other_zone: bool,
    /// Penalty for tasks that do not name a rack of the endpoint, in percent of the run time.
    crowding_penalty: u64,
}

impl<'a> Candidates<'a> {
    /// Collects the candidates for `service` among `agents`, seen from availability zone `zone`.
    pub(crate) fn new(
        agents: &'a Agents,
        now: Uptime,
        service: &str,
        zone: &str,
        locality: &'a Locality,
    ) -> Candidates<'a> {
        let serving = agents.iter().filter(|(_, agent)| agent.serves(now, service));
        let mut list: Vec<_> = serving
            .filter_map(|(address, agent)| {
                let info = agent.report.endpoint.as_ref()?;
                Some(Candidate {
                    agent: *address,
                    free: agent.free_capacity(),
                    info,
                    slowdown: agent.report.slowness.max(1).into(),
                    age: now.since(agent.last_heard),
                    other_zone: agent.zone != zone,
                    crowding_penalty: 0,
                })
            })
            .collect();
        if locality.is_active() && locality.has_rack_demand(service) {
            set_crowding_penalties(&mut list, service, locality);
        }
        Candidates { list, locality, waiting: HashMap::new() }
    }

    /// Reserves resources for a task at the endpoint of least cost, unless it waits for its rack.
    pub(crate) fn reserve(
        &mut self,
        now: Uptime,
        placing: &Placing<'_>,
        full: &[SocketAddrV4],
        rng: &mut impl Rng,
    ) -> Choice {
        let &Placing { step, task, .. } = placing;
        let locality = self.locality;
        let eligible = |it: &&mut Candidate<'_>| {
            it.fits(step) && !task.excluded.contains(&it.agent) && !full.contains(&it.agent)
        };
        let scored =
            self.list.iter_mut().enumerate().filter(|(_, it)| eligible(it)).map(|(at, it)| {
                let cost =
                    it.cost(step, locality) * (100 + rng.random_range(0..JITTER_PERCENT)) / 100;
                (cost, at)
            });
        let Some((_, best)) = scored.min_by_key(|(cost, _)| *cost) else { return Choice::NoRoom };
        if let Some(rack) = &step.rack
            && self.waits_for_rack(now, placing, rack, full, &self.list[best])
        {
            let waiting = self.waiting.entry(rack.clone()).or_default();
            *waiting = waiting.saturating_add(step.cpu);
            return Choice::WaitForRack;
        }
        let best = &mut self.list[best];
        best.free.cpu -= step.cpu;
        best.free.memory -= step.memory;
        best.free.gpus -= step.gpus;
        best.free.max_tasks -= 1;
        Choice::Endpoint(best.agent)
    }

    /// Whether a task waits for its rack, which has no room, rather than run at `best`.
    fn waits_for_rack(
        &self,
        now: Uptime,
        placing: &Placing<'_>,
        rack: &String,
        full: &[SocketAddrV4],
        best: &Candidate<'_>,
    ) -> bool {
        let &Placing { step, task, expected, own_use } = placing;
        if !self.locality.is_active() || !step.is_remote_at(best.info) {
            return false;
        }
        let on_rack = |it: &&Candidate<'_>| {
            it.info.labels.contains(rack)
                && step.can_run_on(it.info)
                && !task.excluded.contains(&it.agent)
                && !full.contains(&it.agent)
        };
        let mut slowdown = None;
        let mut own = UsedCapacity::default();
        for it in self.list.iter().filter(on_rack) {
            if it.fits(step) {
                // The rack has room, but the task is expected to end first elsewhere.
                return false;
            }
            slowdown = Some(slowdown.map_or(it.slowdown, |least: u64| least.min(it.slowdown)));
            let used = own_use.get(&it.agent).copied().unwrap_or_default();
            own.cpu += used.cpu;
            own.release_rate += used.release_rate;
        }
        let Some(slowdown) = slowdown else { return false };
        let run_time = |percent: u64| f64::from(expected) * percent as f64 / 100.0;
        let remote = self.locality.run_percent(step, best.info);
        let ahead = self.waiting.get(rack).copied().unwrap_or(0);
        let load = self.locality.demand(&best.info.service, rack) / own.cpu;
        let rack = FullRack {
            run_on_rack: run_time(slowdown),
            run_elsewhere: run_time(best.slowdown * remote / 100),
            needed: f64::from(ahead.saturating_add(step.cpu)),
            release_rate: own.release_rate,
            load,
            waited: task.waits_for_rack.map_or(0, |since| now.since(since)),
        };
        rack.waits()
    }
}

/// Sets the penalties for tasks that do not name a rack in demand.
fn set_crowding_penalties(list: &mut [Candidate<'_>], service: &str, locality: &Locality) {
    let used = list.iter().map(|it| u64::from(it.info.cpu.saturating_sub(it.free.cpu))).sum();
    let mut capacities: HashMap<&str, u64> = HashMap::new();
    for it in list.iter() {
        for label in &it.info.labels {
            *capacities.entry(label).or_default() += u64::from(it.info.cpu);
        }
    }
    for it in list {
        let penalties = it.info.labels.iter().map(|label| {
            let rack = capacities.get(label.as_str()).copied().unwrap_or(0);
            locality.crowding_penalty(service, label, Capacity { rack, used })
        });
        it.crowding_penalty = penalties.max().unwrap_or(0);
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
    fn cost(&self, step: &Step, locality: &Locality) -> u64 {
        let capacity = self.info.cpu.max(1);
        let used = u64::from(capacity.saturating_sub(self.free.cpu));
        let mut penalty = USAGE_PENALTY_PERCENT * used / u64::from(capacity);
        // On the rack of its data, an order that finds no room costs a task less than a run elsewhere.
        if step.rack.is_none() || step.is_remote_at(self.info) {
            penalty += collision_penalty(self.free.cpu, step.cpu, self.age);
        }
        if self.other_zone {
            penalty += OTHER_ZONE_PENALTY_PERCENT;
        }
        match step.rack {
            Some(_) if !step.is_remote_at(self.info) => {}
            Some(_) => penalty += locality.remote_penalty() + self.crowding_penalty,
            None => penalty += self.crowding_penalty,
        }
        self.slowdown * (100 + penalty) * COST_SCALE
    }
}
