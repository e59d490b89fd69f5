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
    agents::{Agents, Room},
    job::{Step, Task},
};

/// Penalty for an endpoint in another availability zone, in percent of the run time.
const OTHER_ZONE: u64 = 2;
/// Penalty for an endpoint that is not on the rack of the data, in percent of the run time.
const OTHER_RACK: u64 = 50;
/// Penalty for a fully used endpoint, in percent of the run time; keeps capacity free for
/// large tasks.
const FULL: u64 = 30;
/// Differences in cost below this are decided at random, in percent.
const CHANCE: u64 = 6;

/// Endpoints that accept tasks of one service at present.
#[derive(Debug)]
pub(crate) struct Candidates<'a> {
    list: Vec<Candidate<'a>>,
}

#[derive(Debug)]
struct Candidate<'a> {
    agent: SocketAddrV4,
    room: Room,
    capacity: u32,
    slowness: u64,
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
                    room: agent.room(),
                    capacity: info.cpu.max(1),
                    slowness: agent.report.slowness.max(1).into(),
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
    pub(crate) fn suit(&self, step: &Step) -> bool {
        self.list.iter().any(|it| it.suits(step))
    }

    /// Reserves capacity for a task at the endpoint of least cost.
    pub(crate) fn take(
        &mut self,
        step: &Step,
        task: &Task,
        crowded: &[SocketAddrV4],
        rng: &mut impl Rng,
    ) -> Option<SocketAddrV4> {
        let fitting = |it: &&mut Candidate<'_>| {
            it.fits(step) && !task.avoid.contains(&it.agent) && !crowded.contains(&it.agent)
        };
        let scored = self.list.iter_mut().filter(fitting).map(|it| {
            let cost = it.cost(step) * (100 + rng.random_range(0..CHANCE)) / 100;
            (cost, it)
        });
        let (_, best) = scored.min_by_key(|(cost, _)| *cost)?;
        best.room.cpu -= step.cpu;
        best.room.memory -= step.memory;
        best.room.gpus -= step.gpus;
        best.room.tasks -= 1;
        Some(best.agent)
    }
}

impl Candidate<'_> {
    fn suits(&self, step: &Step) -> bool {
        step.label.as_ref().is_none_or(|label| self.labels.contains(label))
            && self.capacity >= step.cpu
    }

    fn fits(&self, step: &Step) -> bool {
        let room = &self.room;
        room.tasks > 0
            && room.cpu >= step.cpu
            && room.memory >= step.memory
            && room.gpus >= step.gpus
            && self.suits(step)
    }

    /// Expected run time on a relative scale, including penalties.
    fn cost(&self, step: &Step) -> u64 {
        let used = u64::from(self.capacity.saturating_sub(self.room.cpu));
        let mut extra = FULL * used / u64::from(self.capacity);
        if self.other_zone {
            extra += OTHER_ZONE;
        }
        if step.rack.as_ref().is_some_and(|rack| !self.labels.contains(rack)) {
            extra += OTHER_RACK;
        }
        self.slowness * (100 + extra) * 10
    }
}
