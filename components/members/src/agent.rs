//! The state of one agent in a node's view.

use std::time::Duration;

use ident::{Group, Incarnation, Timestamp};
use wire::{AgentReport, Suspicion, encode};

use crate::ack::PeerBudget;

/// Time without a report after which an agent with direct heartbeats is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(3500);
/// Number of heartbeats received here before missing ones count as a sign of failure.
const MIN_DIRECT_HEARTBEATS: u32 = 4;
/// Time from suspicion until an agent with direct heartbeats is declared gone.
const GONE_AFTER: Duration = Duration::from_millis(2500);
/// Additional time without a report tolerated for an agent without direct heartbeats, in
/// mean report intervals.
const RELAY_ALLOWANCE_INTERVALS: u32 = 10;
/// Maximum additional time without a report tolerated for an agent without direct
/// heartbeats.
const MAX_RELAY_ALLOWANCE: Duration = Duration::from_secs(300);

/// An agent in this node's view.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Newest report; `leaving` stays set for the rest of the incarnation.
    pub report: AgentReport,
    /// Liveness as judged by this node.
    pub liveness: Liveness,
    /// Time at which the newest report arrived.
    pub heard_at: Timestamp,
    /// Time of the last change of `liveness`.
    pub changed_at: Timestamp,
    /// Incarnation and sequence number of the newest report that was received or that a
    /// suspicion names; the latter may never have arrived here.
    newest: (Incarnation, u64),
    /// Time of the last heartbeat received from the agent itself, if any.
    direct_at: Option<Timestamp>,
    /// Number of heartbeats received from the agent itself.
    heartbeats: u32,
    /// Moving average of the time between reports that were not stale.
    interval: Duration,
    /// Time from suspicion until the agent is declared gone.
    gone_after: Duration,
    /// Budget for sending reports of peers to the agent.
    pub(crate) peer_budget: PeerBudget,
}

/// Liveness of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// A report arrived recently.
    Alive,
    /// No report arrived in time; it gets new work only if no other agent can take it.
    Suspected,
    /// No report arrived after the suspicion either; it gets no new work.
    Gone,
}

/// Path by which a report arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// From the agent itself.
    Direct,
    /// Relayed by another node.
    Relayed,
}

/// Effect of a report on the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Change {
    /// The agent was not in the view.
    Joined,
    /// The agent has a newer incarnation.
    Restarted,
    /// The report is newer, and liveness, incarnation and `leaving` are unchanged.
    Updated,
    /// The agent announced that it is leaving.
    Leaving,
    /// The agent was suspected or gone and is alive again.
    Recovered,
    /// The report is not newer than the newest one received or named in a suspicion.
    Stale,
}

impl Member {
    pub(crate) fn new(report: &AgentReport, source: Source, now: Timestamp) -> Member {
        Member {
            report: report.clone(),
            liveness: Liveness::Alive,
            heard_at: now,
            changed_at: now,
            newest: (report.incarnation, report.sequence),
            direct_at: (source == Source::Direct).then_some(now),
            heartbeats: u32::from(source == Source::Direct),
            interval: Duration::ZERO,
            gone_after: GONE_AFTER,
            peer_budget: PeerBudget::new(now),
        }
    }

    /// Whether the agent is alive and accepts new work.
    pub fn is_available(&self) -> bool {
        self.liveness == Liveness::Alive && !self.report.leaving
    }

    /// Whether the agent belongs to the group.
    pub fn serves(&self, group: &Group) -> bool {
        self.report.group == *group
    }

    /// Applies the report if it is newer than `newest`.
    pub(crate) fn update(
        &mut self,
        report: &AgentReport,
        source: Source,
        now: Timestamp,
    ) -> Change {
        if (report.incarnation, report.sequence) <= self.newest {
            return Change::Stale;
        }
        self.newest = (report.incarnation, report.sequence);
        let is_restart = report.incarnation > self.report.incarnation;
        let was_leaving = self.report.leaving && !is_restart;
        let was_not_alive = self.liveness != Liveness::Alive;
        self.report = report.clone();
        self.report.leaving |= was_leaving;
        self.interval = (self.interval * 3 + now.since(self.heard_at)) / 4;
        self.heard_at = now;
        if source == Source::Direct {
            self.direct_at = Some(now);
            self.heartbeats = self.heartbeats.saturating_add(1);
        }
        self.set_liveness(Liveness::Alive, now);
        match () {
            () if is_restart => Change::Restarted,
            () if self.report.leaving && !was_leaving => Change::Leaving,
            () if was_not_alive => Change::Recovered,
            () => Change::Updated,
        }
    }

    /// Whether the time without a report exceeds the limit; `relay_interval` is the expected
    /// interval between relayed reports.
    pub(crate) fn is_overdue(&self, relay_interval: Duration, now: Timestamp) -> bool {
        now.since(self.heard_at) > SUSPECT_AFTER + self.relay_allowance(relay_interval)
    }

    /// Suspects the agent because no report arrived here in time.
    pub(crate) fn suspect(&mut self, relay_interval: Duration, now: Timestamp) {
        self.gone_after = GONE_AFTER + self.relay_allowance(relay_interval);
        self.set_liveness(Liveness::Suspected, now);
    }

    /// Applies the suspicion of another entry, one that receives the agent's heartbeats.
    pub(crate) fn apply_suspicion(&mut self, suspicion: &Suspicion, now: Timestamp) {
        self.newest = self.newest.max((suspicion.incarnation, suspicion.sequence));
        self.gone_after = GONE_AFTER;
        self.set_liveness(Liveness::Suspected, now);
    }

    /// Whether the suspicion has lasted long enough to declare the agent gone.
    pub(crate) fn is_suspicion_expired(&self, now: Timestamp) -> bool {
        now.since(self.changed_at) > self.gone_after
    }

    /// Whether the agent sent a heartbeat here recently.
    pub(crate) fn has_recent_heartbeat(&self, now: Timestamp) -> bool {
        self.direct_at.is_some_and(|at| now.since(at) <= SUSPECT_AFTER)
    }

    /// Whether the agent sent heartbeats here regularly up to the newest report, so that
    /// missing heartbeats indicate a failure.
    pub(crate) fn is_direct(&self) -> bool {
        self.had_recent_heartbeat() && self.heartbeats >= MIN_DIRECT_HEARTBEATS
    }

    /// Whether the agent's state is based on heartbeats received here, so that other nodes
    /// may lack it.
    pub(crate) fn has_direct_state(&self) -> bool {
        match self.liveness {
            Liveness::Alive => self.had_recent_heartbeat(),
            Liveness::Suspected | Liveness::Gone => self.is_direct(),
        }
    }

    /// Whether the agent sent a heartbeat here shortly before the newest report arrived.
    fn had_recent_heartbeat(&self) -> bool {
        self.direct_at.is_some_and(|at| self.heard_at.since(at) <= SUSPECT_AFTER)
    }

    /// Additional time without a report tolerated for lack of direct heartbeats.
    fn relay_allowance(&self, relay_interval: Duration) -> Duration {
        match self.is_direct() {
            true => Duration::ZERO,
            false => relay_interval
                .max(self.interval * RELAY_ALLOWANCE_INTERVALS)
                .min(MAX_RELAY_ALLOWANCE),
        }
    }

    /// Whether `newest` is not newer than the report that the suspicion names.
    pub(crate) fn is_covered_by(&self, suspicion: &Suspicion) -> bool {
        self.newest <= (suspicion.incarnation, suspicion.sequence)
    }

    /// Encoded size of the agent's state in a datagram.
    pub(crate) fn state_bytes(&self) -> usize {
        match self.liveness {
            Liveness::Alive => encode(&self.report).len(),
            Liveness::Suspected | Liveness::Gone => encode(&self.suspicion()).len(),
        }
    }

    /// Adds the agent's state to a datagram.
    pub(crate) fn append_state(
        &self,
        agents: &mut Vec<AgentReport>,
        suspicions: &mut Vec<Suspicion>,
    ) {
        match self.liveness {
            Liveness::Alive => agents.push(self.report.clone()),
            Liveness::Suspected | Liveness::Gone => suspicions.push(self.suspicion()),
        }
    }

    fn suspicion(&self) -> Suspicion {
        let (incarnation, sequence) = self.newest;
        Suspicion { node: self.report.node, incarnation, sequence }
    }

    pub(crate) fn set_liveness(&mut self, liveness: Liveness, now: Timestamp) {
        if self.liveness != liveness {
            self.liveness = liveness;
            self.changed_at = now;
        }
    }
}
