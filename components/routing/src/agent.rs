//! State of one agent, as a router knows it.

use std::time::Duration;

use ident::{Incarnation, Timestamp};
use wire::{AgentReport, Load};

use crate::health::{Health, Phase};

/// Longest delay of a gossiped report. A load that came directly from the agent
/// within this time is taken to be newer than the report.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Shortest time between two trial requests to a half-open agent.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a half-open agent gets its first trial request even if no idempotent
/// one has come.
const IDEMPOTENT_TRIAL_WAIT: Duration = Duration::from_secs(5);
/// Exponent of the share of busy slots in the contention delay; with half the slots
/// busy, the delay is a sixteenth of the largest one.
const CONTENTION_EXPONENT: i32 = 4;
/// Contention delay when all slots are busy, in mean run times per slot.
const CONTENTION_WEIGHT: f64 = 1.5;

/// An agent with its load, health and requests in flight.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) report: AgentReport,
    pub(crate) health: Health,
    /// Whether the agent has been silent, so that the failure detector suspects it.
    pub(crate) silent: bool,
    load: Load,
    /// Time at which `load` was received.
    received_at: Timestamp,
    /// Time of the latest load that came directly from the agent.
    last_direct: Timestamp,
    in_flight: Vec<InFlight>,
    /// Time at which the latest request was sent.
    last_sent: Timestamp,
}

/// Whether an agent is chosen first or only as a fallback.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Tier {
    /// Gets requests first.
    Active,
    /// Gets requests only if no active agent can take them.
    Fallback,
}

/// A request that was sent and has not ended yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct InFlight {
    sent_at: Timestamp,
    expected: Duration,
}

impl Agent {
    pub(crate) fn new(report: &AgentReport, now: Timestamp) -> Agent {
        Agent {
            report: report.clone(),
            health: Health::new(now),
            silent: false,
            load: report.load,
            received_at: now,
            last_direct: Timestamp::ZERO,
            in_flight: Vec::new(),
            last_sent: Timestamp::ZERO,
        }
    }

    /// Applies a report; ignores one that is not newer than the current report.
    pub(crate) fn on_report(&mut self, report: &AgentReport, now: Timestamp) {
        if !self.is_superseded_by(report) {
            return;
        }
        if report.incarnation > self.report.incarnation {
            let health = self.health.after_restart(now);
            *self = Agent { health, ..Agent::new(report, now) };
            return;
        }
        let leaving = self.report.leaving || report.leaving;
        self.report = AgentReport { leaving, ..report.clone() };
        if now.since(self.last_direct) >= MAX_REPORT_DELAY {
            self.set_load(report.load, now);
        }
    }

    /// Whether the given report is newer than the current one.
    pub(crate) fn is_superseded_by(&self, report: &AgentReport) -> bool {
        let current = (self.report.incarnation, self.report.sequence);
        current < (report.incarnation, report.sequence)
    }

    /// Applies a load that came with the incarnation and sequence number of a report;
    /// ignores one that is not newer than the current report.
    pub(crate) fn on_load(&mut self, version: (Incarnation, u64), load: Load, now: Timestamp) {
        if (self.report.incarnation, self.report.sequence) < version {
            (self.report.incarnation, self.report.sequence) = version;
            self.on_direct_load(load, now);
        }
    }

    /// Applies a load that has just come directly from the agent.
    pub(crate) fn on_direct_load(&mut self, load: Load, now: Timestamp) {
        self.last_direct = now;
        self.set_load(load, now);
    }

    fn set_load(&mut self, load: Load, now: Timestamp) {
        self.load = load;
        self.received_at = now;
    }

    pub(crate) fn on_sent(&mut self, expected: Duration, now: Timestamp) {
        self.last_sent = now;
        self.in_flight.push(InFlight { sent_at: now, expected });
    }

    pub(crate) fn on_finished(&mut self, expected: Duration, sent_at: Timestamp) {
        let sent = InFlight { sent_at, expected };
        if let Some(index) = self.in_flight.iter().position(|it| *it == sent) {
            self.in_flight.swap_remove(index);
        }
    }

    /// Whether the agent is active or a fallback.
    pub(crate) fn tier(&self) -> Tier {
        match self.avoid_reason() {
            None => Tier::Active,
            Some(_) => Tier::Fallback,
        }
    }

    /// Why the agent is only a fallback, if it is. The texts are label values in metrics;
    /// "on probation" stands for half-open.
    pub(crate) fn avoid_reason(&self) -> Option<&'static str> {
        if self.silent {
            return Some("is silent");
        }
        match self.health.phase {
            Phase::Active => None,
            Phase::Ejected { .. } => Some("is ejected"),
            Phase::HalfOpen { .. } => Some("is on probation"),
        }
    }

    /// Whether the agent, if half-open, may get a trial request now.
    pub(crate) fn is_due_for_trial(&self, now: Timestamp) -> bool {
        !self.silent && self.in_flight.is_empty() && now.since(self.last_sent) >= TRIAL_INTERVAL
    }

    /// Whether the next trial request may be one that is not idempotent.
    pub(crate) fn allows_any_trial(&self, now: Timestamp) -> bool {
        match self.health.phase {
            Phase::HalfOpen { since, successes: 0 } => now.since(since) >= IDEMPOTENT_TRIAL_WAIT,
            Phase::HalfOpen { .. } => true,
            Phase::Active | Phase::Ejected { .. } => false,
        }
    }

    /// Predicted time that a request sent now would wait for a slot.
    pub(crate) fn predicted_wait(&self) -> Duration {
        let (requests, work) = self.estimated_load();
        if requests < self.slots() {
            return Duration::ZERO;
        }
        let mean = work / requests;
        mean * (requests - self.slots() + 1) / self.slots()
    }

    /// Expected delay because other routers, which do not see this request, may
    /// send theirs to the same free slot; `mean_run_time` is the mean of the expected
    /// run times.
    pub(crate) fn contention_delay(&self, mean_run_time: Duration) -> Duration {
        let (requests, _) = self.estimated_load();
        let busy_share = f64::from(requests.min(self.slots())) / f64::from(self.slots());
        mean_run_time.mul_f64(CONTENTION_WEIGHT * busy_share.powi(CONTENTION_EXPONENT))
            / self.slots()
    }

    fn slots(&self) -> u32 {
        self.load.slots.max(1)
    }

    /// Number of requests that run or wait at the agent, and their work: the
    /// reported load and the requests that were sent after it.
    fn estimated_load(&self) -> (u32, Duration) {
        let unreported = self.in_flight.iter().filter(|it| it.sent_at >= self.received_at);
        let reported = (self.load.busy + self.load.queued, self.load.backlog);
        unreported.fold(reported, |(count, work), it| (count + 1, work + it.expected))
    }
}
