//! The agents that an entry knows, and its estimate of their free capacity.

use std::{collections::BTreeMap, net::SocketAddrV4};

use mesh::{Channel, Command, Health, Notice, Report, Uptime};

use crate::limits::{ACK_TIMEOUT_MS, AGENT_SILENCE_MS, PLACEMENT_SILENCE_MS};

/// Agents by their addresses.
pub(crate) type Agents = BTreeMap<SocketAddrV4, Agent>;

/// Mean slowdown of the endpoints of responding agents, in percent.
pub(crate) fn mean_slowdown(agents: &Agents, now: Uptime) -> u64 {
    let heard = agents.values().filter(|it| !it.is_silent(now) && it.report.endpoint.is_some());
    let (count, sum) = heard
        .fold((0_u64, 0_u64), |(count, sum), it| (count + 1, sum + u64::from(it.report.slowness)));
    sum.checked_div(count).unwrap_or(100).max(1)
}

/// An agent as seen by the entry.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) zone: String,
    pub(crate) channel: Channel<Command, Notice>,
    pub(crate) report: Report,
    /// Time of the newest frame from the agent.
    pub(crate) last_heard: Uptime,
    /// Time at which the agent was last announced.
    pub(crate) last_announced: Uptime,
    pub(crate) next_probe: Uptime,
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
    pub(crate) fn new(incarnation: u64, now: Uptime, zone: String) -> Agent {
        Agent {
            zone,
            channel: Channel::new(incarnation),
            report: Report::default(),
            last_heard: Uptime::default(),
            last_announced: now,
            next_probe: now,
            unreachable: true,
        }
    }

    /// Whether tasks of `service` may be placed on it.
    pub(crate) fn serves(&self, now: Uptime, service: &str) -> bool {
        now.since(self.last_heard) < PLACEMENT_SILENCE_MS
            && self.channel.unacknowledged_ms(now) < ACK_TIMEOUT_MS
            && self.report.health != Health::Closed
            && self.report.endpoint.as_ref().is_some_and(|it| it.service == service)
    }

    /// Whether it has been silent for so long that it is unreachable and its runs count as lost.
    pub(crate) fn is_silent(&self, now: Uptime) -> bool {
        now.since(self.last_heard) >= AGENT_SILENCE_MS
    }

    /// Free capacity by its report, less the start orders that it has not acknowledged.
    pub(crate) fn free_capacity(&self) -> FreeCapacity {
        let report = &self.report;
        let max_tasks = match report.health {
            Health::Open => usize::MAX,
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
