//! Ejection of outliers within a group.

use std::time::Duration;

use ident::{Group, NodeId, Timestamp};
use mutation::{Mechanism, is_disabled};

use crate::{
    health::{BaselineHealth, Phase},
    router::Router,
};

/// Shortest time between two checks of a group for outliers.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Router {
    /// Ejects outliers of the group and makes agents half-open whose ejection is over, if
    /// a check is due.
    pub(crate) fn check_outliers(&mut self, group: &Group, now: Timestamp) {
        let Some(pool) = self.pools.get_mut(group) else {
            return;
        };
        if now.since(pool.checked_at) < CHECK_INTERVAL {
            return;
        }
        pool.checked_at = now;
        let nodes: Vec<NodeId> = pool.nodes().collect();
        for node in &nodes {
            if let Some(agent) = self.agents.get_mut(node) {
                agent.health.update(now);
            }
        }
        let baseline = self.baseline_health(&nodes);
        self.eject_outliers(&nodes, &baseline, now);
        let is_half_open =
            |node: &NodeId| self.agents.get(node).is_some_and(|it| it.health.is_half_open());
        let half_open = nodes.iter().copied().filter(is_half_open).collect();
        if let Some(pool) = self.pools.get_mut(group) {
            pool.baseline.health = baseline;
            pool.half_open = half_open;
        }
    }

    fn baseline_health(&self, nodes: &[NodeId]) -> BaselineHealth {
        let health = || nodes.iter().filter_map(|node| Some(&self.agents.get(node)?.health));
        BaselineHealth {
            failure_rate: quantile(health().map(|it| it.failure_rate), 0.25),
            log_slowdown: quantile(health().map(|it| it.log_slowdown), 0.5),
        }
    }

    /// Ejects the outliers with the highest failure rates, up to the limit.
    fn eject_outliers(&mut self, nodes: &[NodeId], baseline: &BaselineHealth, now: Timestamp) {
        let agents =
            || nodes.iter().filter_map(|node| Some((*node, &self.agents.get(node)?.health)));
        let unavailable = agents().filter(|(_, health)| health.phase != Phase::Active).count();
        let allowed = max_unavailable(nodes.len(), self.eject_percent).saturating_sub(unavailable);
        let active = agents().filter(|(_, health)| health.phase == Phase::Active);
        let mut outliers: Vec<(NodeId, f64)> = active
            .filter(|(_, health)| health.is_outlier(baseline))
            .map(|(node, health)| (node, health.failure_rate))
            .collect();
        outliers.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        for (node, _) in outliers.iter().take(allowed) {
            if let Some(agent) = self.agents.get_mut(node) {
                agent.health.eject(now);
            }
        }
    }
}

/// Largest number of agents of a group of `total` that are ejected or half-open at
/// a time: at least one if there are several, unless ejection is turned off.
fn max_unavailable(total: usize, percent: u32) -> usize {
    if percent == 0 || total < 2 || is_disabled(Mechanism::OutlierEjection) {
        return 0;
    }
    (total * percent.min(100) as usize / 100).max(1)
}

fn quantile(values: impl Iterator<Item = f64>, fraction: f64) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * fraction) as usize;
    values.get(index).copied().unwrap_or_default()
}
