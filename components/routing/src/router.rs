//! Router: its state, and the events that update it.

use std::{collections::HashMap, time::Duration};

use config::Inventory;
use ident::{Group, Incarnation, NodeId, Timestamp};
use wire::{AgentReport, Load};

use crate::{
    RequestOutcome, RequestResult, agent::Agent, inventory::InventoryIndex, pool::Pool,
    run_time::RunTimes,
};

/// Agents with their loads and health, and estimates of run times.
#[derive(Debug)]
pub struct Router {
    pub(crate) zone: String,
    pub(crate) agents: HashMap<NodeId, Agent>,
    pub(crate) pools: HashMap<Group, Pool>,
    pub(crate) inventory: InventoryIndex,
    pub(crate) eject_percent: u32,
    run_times: RunTimes,
}

impl Router {
    /// Creates a router without agents; `zone` is the availability zone of this node.
    pub fn new(zone: impl Into<String>) -> Router {
        Router {
            zone: zone.into(),
            agents: HashMap::new(),
            pools: HashMap::new(),
            inventory: InventoryIndex::default(),
            eject_percent: 0,
            run_times: RunTimes::default(),
        }
    }

    /// Applies the active inventory; agents that it does not name get no requests.
    pub fn set_inventory(&mut self, inventory: &Inventory) {
        self.inventory = InventoryIndex::new(inventory);
        self.eject_percent = inventory.rules.eject_percent;
        for kind in &inventory.kinds {
            let run_time = Duration::from_millis(kind.run_ms);
            self.run_times.set_inventory_run_time(&kind.service, &kind.name, run_time);
        }
    }

    /// Applies an agent's report; ignores one that is not newer than the current report.
    pub fn on_report(&mut self, report: &AgentReport, now: Timestamp) {
        let same_group_and_zone = |agent: &Agent| {
            agent.report.group == report.group
                && agent.report.availability_zone == report.availability_zone
        };
        match self.agents.get_mut(&report.node) {
            Some(agent) if same_group_and_zone(agent) => agent.on_report(report, now),
            Some(agent) if agent.is_superseded_by(report) => {
                self.remove(report.node);
                self.add(report, now);
            }
            Some(_) => {}
            None => self.add(report, now),
        }
    }

    /// Applies an agent's load; ignores one that is not newer than the current report.
    ///
    /// `version` is the agent's incarnation and its sequence number, as in a report.
    pub fn on_load(
        &mut self,
        node: NodeId,
        version: (Incarnation, u64),
        load: Load,
        now: Timestamp,
    ) {
        if let Some(agent) = self.agents.get_mut(&node) {
            agent.on_load(version, load, now);
        }
    }

    /// Sets whether the agent has been silent, so that the failure detector suspects it.
    pub fn set_silent(&mut self, node: NodeId, silent: bool) {
        if let Some(agent) = self.agents.get_mut(&node) {
            agent.silent = silent;
        }
    }

    /// Removes an agent.
    pub fn remove(&mut self, node: NodeId) {
        self.agents.remove(&node);
        for pool in self.pools.values_mut() {
            pool.remove(node);
        }
    }

    /// Records a request that is sent to the agent.
    pub fn on_sent(&mut self, node: NodeId, expected: Duration, now: Timestamp) {
        if let Some(agent) = self.agents.get_mut(&node) {
            agent.on_sent(expected, now);
            if let Some(pool) = self.pools.get_mut(&agent.report.group) {
                pool.on_sent(expected);
            }
        }
    }

    /// Records the end of a request that was sent to the agent.
    pub fn on_reply(&mut self, node: NodeId, result: &RequestResult<'_>, now: Timestamp) {
        let Some(agent) = self.agents.get_mut(&node) else {
            return;
        };
        agent.on_finished(result.expected, result.sent_at);
        if let Some(load) = result.load {
            agent.on_direct_load(load, now);
        }
        match result.outcome {
            RequestOutcome::Healthy => {
                agent.health.on_success(slowdown(result.run_time, result.expected), now);
            }
            RequestOutcome::Failed | RequestOutcome::Lost => agent.health.on_failure(now),
            RequestOutcome::Refused | RequestOutcome::Cancelled => {}
        }
        if let Group::Service(service) = &agent.report.group
            && result.outcome == RequestOutcome::Healthy
        {
            let times = &mut self.run_times;
            times.record(service, result.kind, result.declared, result.run_time, now);
            times.record_response(service, result.kind, result.expected, now.since(result.sent_at));
        }
    }

    /// Expected run time of a request.
    pub fn expected_run_time(
        &self,
        service: &str,
        kind: &str,
        declared: Option<Duration>,
        now: Timestamp,
    ) -> Duration {
        self.run_times.expected_run_time(service, kind, declared, now)
    }

    /// Time after which to send a hedge; `None` until there are enough samples.
    pub fn hedge_delay(&self, service: &str, kind: &str, expected: Duration) -> Option<Duration> {
        self.run_times.hedge_delay(service, kind, expected)
    }

    /// Predicted time that a request sent to the agent now would wait for a slot.
    pub fn predicted_wait(&self, node: NodeId) -> Duration {
        self.agents.get(&node).map_or(Duration::ZERO, Agent::predicted_wait)
    }

    /// Whether the agent should get no request now: it is ejected, silent, or
    /// half-open and not due for a trial request.
    pub fn is_avoided(&mut self, group: &Group, node: NodeId, now: Timestamp) -> bool {
        self.check_outliers(group, now);
        let is_half_open = self.pools.get(group).is_some_and(|it| it.half_open.contains(&node));
        self.agents.get(&node).is_some_and(|agent| {
            agent.avoid_reason().is_some() && !(is_half_open && agent.is_due_for_trial(now))
        })
    }

    fn add(&mut self, report: &AgentReport, now: Timestamp) {
        let is_local = report.availability_zone == self.zone;
        let pool = self.pools.entry(report.group.clone()).or_default();
        pool.add(report.node, is_local);
        self.agents.insert(report.node, Agent::new(report, now));
    }
}

fn slowdown(run_time: Duration, expected: Duration) -> f64 {
    run_time.as_secs_f64() / expected.as_secs_f64().max(1e-6)
}
