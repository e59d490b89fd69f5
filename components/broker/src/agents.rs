//! The agents that an entry knows, and its estimate of their free capacity.

use std::{collections::BTreeMap, net::SocketAddrV4};

use mesh::{Channel, Command, Health, Notice, Report, RunKey, Uptime};

use crate::{
    job::Step,
    limits::{
        ACK_TIMEOUT_MS, AGENT_SILENCE_MS, BACKGROUND_SILENCE_MS, MAX_STOPPED_RUNS,
        MAX_UNACKNOWLEDGED_RUNS, PLACEMENT_SILENCE_MS,
    },
    watch::WatchedCapacity,
};

/// Agents by their addresses.
pub(crate) type Agents = BTreeMap<SocketAddrV4, Agent>;

/// Mean slowdown of the endpoints of responding agents, in percent.
pub(crate) fn mean_slowdown(agents: &Agents) -> u64 {
    let heard = agents.values().filter(|it| !it.unreachable && it.report.endpoint.is_some());
    let (count, sum) = heard
        .fold((0_u64, 0_u64), |(count, sum), it| (count + 1, sum + u64::from(it.report.slowness)));
    sum.checked_div(count).unwrap_or(100).max(1)
}

/// Total capacity of the endpoints of `service`, in thousandths of a core.
pub(crate) fn total_capacity(agents: &Agents, now: Uptime, service: &str) -> u64 {
    let providing = agents.values().filter(|it| it.provides(now, service));
    providing.filter_map(|it| it.report.endpoint.as_ref()).map(|it| u64::from(it.cpu.max(1))).sum()
}

/// Whether any endpoint of `service` could run a task of `step` when idle.
pub(crate) fn can_run(agents: &Agents, now: Uptime, service: &str, step: &Step) -> bool {
    let providing = agents.values().filter(|it| it.provides(now, service));
    providing.filter_map(|it| it.report.endpoint.as_ref()).any(|it| step.can_run_on(it))
}

/// Whether an endpoint of `service` outside evacuated zones could run a task of `step` when idle,
/// by the last report of its agent, which may be silent for the moment.
pub(crate) fn may_run(agents: &Agents, service: &str, step: &Step) -> bool {
    let served = agents.values().filter(|it| it.is_watchable());
    let endpoints = served.filter_map(|it| it.report.endpoint.as_ref());
    endpoints.filter(|it| it.service == service).any(|it| step.can_run_on(it))
}

/// Whether an endpoint of `service` is in an evacuated zone.
pub(crate) fn is_evacuated_from(agents: &Agents, service: &str) -> bool {
    let evacuated = agents.values().filter(|it| it.evacuated && !it.unreachable);
    evacuated.filter_map(|it| it.report.endpoint.as_ref()).any(|it| it.service == service)
}

/// Capacity of the endpoints of watched agents that accept work.
pub(crate) fn watched_capacity(agents: &Agents) -> WatchedCapacity {
    let mut capacity = WatchedCapacity::default();
    let watched = |it: &&Agent| it.watched_since.is_some() && !it.unreachable && !it.evacuated;
    for agent in agents.values().filter(watched) {
        if let Some(info) = &agent.report.endpoint
            && agent.report.health == Health::Open
        {
            capacity.free += u64::from(agent.report.cpu);
            capacity.total += u64::from(info.cpu);
        }
    }
    capacity
}

/// An agent as seen by the entry.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) zone: String,
    /// Whether its zone is evacuated; no task is placed on it.
    pub(crate) evacuated: bool,
    pub(crate) channel: Channel<Command, Notice>,
    pub(crate) report: Report,
    /// Number of the last command that the agent had received when it sent the report.
    pub(crate) acknowledged: u64,
    /// Time of the newest frame from the agent.
    pub(crate) last_heard: Uptime,
    /// Time at which the agent was last announced.
    pub(crate) last_announced: Uptime,
    pub(crate) next_probe: Uptime,
    /// Start of the time for which it has been watched; none while it is not.
    pub(crate) watched_since: Option<Uptime>,
    /// Whether the newest frame to it said that jobs wait here.
    pub(crate) told_waiting: bool,
    /// Whether it has reported free capacity since the newest frame to it.
    pub(crate) has_offered: bool,
    /// Weight in the choice of the agents to watch.
    pub(crate) weight: u64,
    /// Whether it does not respond or was never heard; its runs are considered lost.
    pub(crate) unreachable: bool,
}

/// Free capacity of an endpoint that an entry may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct FreeCapacity {
    pub(crate) cpu: u32,
    pub(crate) memory: u32,
    pub(crate) gpus: u32,
    /// Number of tasks that may be placed at most.
    pub(crate) max_tasks: usize,
}

impl Agent {
    /// Creates a watched agent that was not heard yet.
    pub(crate) fn new(incarnation: u64, now: Uptime, zone: String, weight: u64) -> Agent {
        Agent {
            zone,
            evacuated: false,
            channel: Channel::new(incarnation),
            report: Report::default(),
            acknowledged: 0,
            last_heard: Uptime::default(),
            last_announced: now,
            next_probe: now,
            watched_since: Some(now),
            told_waiting: false,
            has_offered: false,
            weight,
            unreachable: true,
        }
    }

    /// Whether its endpoint takes tasks of `service`, by its last report.
    pub(crate) fn provides(&self, now: Uptime, service: &str) -> bool {
        !self.unreachable
            && !self.evacuated
            && self.channel.unacknowledged_ms(now) < ACK_TIMEOUT_MS
            && self.report.health != Health::Closed
            && self.report.endpoint.as_ref().is_some_and(|it| it.service == service)
    }

    /// Whether tasks of `service` may be placed on it.
    pub(crate) fn serves(&self, now: Uptime, service: &str) -> bool {
        self.watched_since.is_some()
            && now.since(self.last_heard) < PLACEMENT_SILENCE_MS
            && self.provides(now, service)
    }

    /// Whether it has been silent for so long that it is unreachable and its runs count as lost.
    pub(crate) fn is_silent(&self, now: Uptime) -> bool {
        match self.watched_since {
            Some(since) => now.since(self.last_heard.max(since)) >= AGENT_SILENCE_MS,
            None => now.since(self.last_heard) >= BACKGROUND_SILENCE_MS,
        }
    }

    /// Orders it to stop runs.
    pub(crate) fn push_stops(&mut self, runs: &[RunKey]) {
        for part in runs.chunks(MAX_STOPPED_RUNS) {
            self.channel.push(Command::Stop(part.to_vec()));
        }
    }

    /// Whether it may reserve capacity for jobs that no longer wait.
    pub(crate) fn awaits_decline(&self, waiting: bool) -> bool {
        !waiting && self.told_waiting && self.has_offered
    }

    /// Whether it may be one of the subset of agents to watch.
    pub(crate) fn is_watchable(&self) -> bool {
        !self.unreachable && !self.evacuated && self.report.health != Health::Closed
    }

    /// Starts to watch it; the next probe is due at once.
    pub(crate) fn watch(&mut self, now: Uptime) {
        if self.watched_since.is_none() {
            self.watched_since = Some(now);
            self.next_probe = now;
        }
    }

    /// Stops watching it; the probes of all such agents are spread over `interval`.
    pub(crate) fn unwatch(&mut self, now: Uptime, interval: u64) {
        if self.watched_since.take().is_some() {
            self.next_probe = now + self.weight % interval;
        }
    }

    /// Free capacity by its report, less the start orders that it has not acknowledged.
    pub(crate) fn free_capacity(&self) -> FreeCapacity {
        let report = &self.report;
        let max_tasks = match report.health {
            Health::Open => MAX_UNACKNOWLEDGED_RUNS,
            Health::Trial => 1,
            Health::Closed => 0,
        };
        let mut free =
            FreeCapacity { cpu: report.cpu, memory: report.memory, gpus: report.gpus, max_tasks };
        for command in self.channel.pending() {
            if let Command::Start(order) = command {
                let count = order.runs.len();
                let runs = u32::try_from(count).unwrap_or(u32::MAX);
                free.cpu = free.cpu.saturating_sub(order.cpu.saturating_mul(runs));
                free.memory = free.memory.saturating_sub(order.memory.saturating_mul(runs));
                free.gpus = free.gpus.saturating_sub(order.gpus.saturating_mul(runs));
                free.max_tasks = free.max_tasks.saturating_sub(count);
            }
        }
        free
    }
}
