//! Choice of an agent for one request.
//!
//! The cost of an agent is its predicted response time with a penalty for
//! failures. One of the agents with the lowest cost is chosen at random.

use std::time::Duration;

use ident::{Group, NodeId, Timestamp};
use node::Candidate;
use rand::{Rng, seq::IteratorRandom};

use crate::{
    agent::{Agent, Tier},
    pool::{Baseline, Pool},
    router::Router,
};

/// Response time that a request to another availability zone adds, both ways
/// together.
const CROSS_ZONE_LATENCY: Duration = Duration::from_millis(2);
/// Cost of a failed attempt; it is weighted with the agent's failure rate above that
/// of its group.
const FAILURE_COST: Duration = Duration::from_secs(1);
/// Agents whose costs exceed the lowest by at most this are chosen with equal
/// probability, so that routers with the same view do not all choose the same one.
const COST_TOLERANCE: Duration = Duration::from_micros(200);

/// Criteria by which an agent is chosen for a request.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Kind of the request.
    pub kind: &'a str,
    /// Expected run time.
    pub expected: Duration,
    /// Agents that must not be chosen, such as those that were tried before.
    pub exclude: &'a [NodeId],
}

/// An agent chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The agent.
    pub node: NodeId,
    /// Predicted wait for a slot there.
    pub wait: Duration,
    /// Agents that were compared, for the decision log.
    pub candidates: Vec<Candidate>,
}

/// An agent with its cost.
#[derive(Debug, Clone, Copy)]
struct Score {
    node: NodeId,
    wait: Duration,
    cost: f64,
}

impl Router {
    /// Chooses an agent of the group, at random among those of about equal cost.
    ///
    /// A half-open agent that is due for a trial request goes first. Agents that are
    /// ejected, half-open or silent are chosen if no other can be.
    pub fn choose(
        &mut self,
        group: &Group,
        criteria: &Criteria<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        self.check_outliers(group, now);
        let pool = self.pools.get(group)?;
        if let Some(choice) = self.choose_trial(group, pool, criteria, now) {
            return Some(choice);
        }
        let baseline = &pool.baseline;
        let mut nodes = pool.pick_candidates(rng);
        let mut scores = self.scores(&nodes, criteria, baseline, Tier::Active);
        if scores.is_empty() {
            nodes = pool.nodes().collect();
            scores = self.scores(&nodes, criteria, baseline, Tier::Active);
        }
        if scores.is_empty() {
            scores = self.scores(&nodes, criteria, baseline, Tier::Fallback);
        }
        let best = pick_best(&scores, rng)?;
        let candidates = nodes.iter().map(|node| self.candidate(*node, criteria)).collect();
        Some(Choice { node: best.node, wait: best.wait, candidates })
    }

    /// Chooses a half-open agent that is due for a trial request.
    fn choose_trial(
        &self,
        group: &Group,
        pool: &Pool,
        criteria: &Criteria<'_>,
        now: Timestamp,
    ) -> Option<Choice> {
        if pool.half_open.is_empty() {
            return None;
        }
        let is_idempotent = self.inventory.is_idempotent(group, criteria.kind);
        let node = pool.half_open.iter().copied().find(|node| {
            let agent = &self.agents[node];
            self.exclude_reason(agent, criteria).is_none()
                && agent.is_due_for_trial(now)
                && (is_idempotent || agent.allows_any_trial(now))
        })?;
        let wait = self.agents[&node].predicted_wait();
        Some(Choice { node, wait, candidates: vec![self.candidate(node, criteria)] })
    }

    /// Scores the agents of the given tier and of those above it, other than those that
    /// must not get the request.
    fn scores(
        &self,
        nodes: &[NodeId],
        criteria: &Criteria<'_>,
        baseline: &Baseline,
        lowest: Tier,
    ) -> Vec<Score> {
        let agents = nodes.iter().filter_map(|node| self.agents.get(node));
        let allowed = agents.filter(|agent| self.exclude_reason(agent, criteria).is_none());
        let eligible = allowed.filter(|agent| match lowest {
            Tier::Active => agent.tier() == Tier::Active,
            Tier::Fallback => true,
        });
        eligible.map(|agent| self.score(agent, criteria, baseline)).collect()
    }

    fn score(&self, agent: &Agent, criteria: &Criteria<'_>, baseline: &Baseline) -> Score {
        let wait = agent.predicted_wait();
        let run_time = criteria.expected.mul_f64(agent.health.relative_slowdown(&baseline.health));
        let latency = match agent.report.availability_zone == self.zone {
            true => Duration::ZERO,
            false => CROSS_ZONE_LATENCY,
        };
        let failure = FAILURE_COST.mul_f64(agent.health.excess_failures(&baseline.health));
        let cost =
            (wait + agent.contention_delay(baseline.run_time) + run_time + latency + failure)
                .as_secs_f64();
        Score { node: agent.report.node, wait, cost }
    }

    fn candidate(&self, node: NodeId, criteria: &Criteria<'_>) -> Candidate {
        let Some(agent) = self.agents.get(&node) else {
            return Candidate { node, wait_ms: 0.0, excluded: None };
        };
        let wait_ms = agent.predicted_wait().as_secs_f64() * 1000.0;
        let excluded =
            self.exclude_reason(agent, criteria).or(agent.avoid_reason()).map(str::to_owned);
        Candidate { node, wait_ms, excluded }
    }

    /// Why the agent must not get the request. The texts are label values in metrics; the
    /// first one stands for every agent that the criteria exclude.
    fn exclude_reason(&self, agent: &Agent, criteria: &Criteria<'_>) -> Option<&'static str> {
        if criteria.exclude.contains(&agent.report.node) {
            return Some("was asked before");
        }
        self.inventory.exclude_reason(&agent.report)
    }
}

/// Picks one at random among those whose cost is within the tolerance of the lowest.
fn pick_best(scores: &[Score], rng: &mut impl Rng) -> Option<Score> {
    let least = scores.iter().map(|it| it.cost).min_by(f64::total_cmp)?;
    let limit = least + COST_TOLERANCE.as_secs_f64();
    scores.iter().copied().filter(|it| it.cost <= limit).choose(rng)
}
