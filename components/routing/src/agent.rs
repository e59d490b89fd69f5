//! What a router knows of one agent.

use std::time::Duration;

use ident::{Incarnation, Timestamp};
use wire::{AgentReport, Load};

use crate::health::{Health, Phase};

/// Time for which a report may have been on its way, so that a load which came
/// from the agent itself is newer.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time between two trial requests to an agent on probation.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the first trial waits for an idempotent request.
const IDEMPOTENT_TRIAL_TIME: Duration = Duration::from_secs(5);
/// Power by which the risk of a wait grows with the share of busy slots.
const RISK_POWER: i32 = 4;
/// Mean run times per slot that the risk amounts to when all slots are busy.
const RISK_WEIGHT: f64 = 1.5;

/// An agent with its load, as far as it is known here.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) report: AgentReport,
    pub(crate) health: Health,
    pub(crate) suspected: bool,
    load: Load,
    load_at: Timestamp,
    fresh_at: Timestamp,
    sent: Vec<Sent>,
    sent_at: Timestamp,
}

/// Whether an agent should get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It should.
    Active,
    /// Only if no other agent can.
    Doubtful,
}

/// A request that was sent and not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sent {
    at: Timestamp,
    expected: Duration,
}

impl Agent {
    pub(crate) fn new(report: &AgentReport, now: Timestamp) -> Agent {
        Agent {
            report: report.clone(),
            health: Health::new(now),
            suspected: false,
            load: report.load,
            load_at: now,
            fresh_at: Timestamp::ZERO,
            sent: Vec::new(),
            sent_at: Timestamp::ZERO,
        }
    }

    /// Adopts a newer report.
    pub(crate) fn on_report(&mut self, report: &AgentReport, now: Timestamp) {
        if !self.is_older_than(report) {
            return;
        }
        if report.incarnation > self.report.incarnation {
            let health = self.health.after_restart(now);
            *self = Agent { health, ..Agent::new(report, now) };
            return;
        }
        let leaving = self.report.leaving || report.leaving;
        self.report = AgentReport { leaving, ..report.clone() };
        if now.since(self.fresh_at) >= REPORT_DELAY {
            self.set_load(report.load, now);
        }
    }

    /// Whether the report is newer than the present one.
    pub(crate) fn is_older_than(&self, report: &AgentReport) -> bool {
        let known = (self.report.incarnation, self.report.sequence);
        known < (report.incarnation, report.sequence)
    }

    /// Adopts a load that is newer than the present report.
    pub(crate) fn on_load(&mut self, numbered: (Incarnation, u64), load: Load, now: Timestamp) {
        if (self.report.incarnation, self.report.sequence) < numbered {
            (self.report.incarnation, self.report.sequence) = numbered;
            self.on_fresh_load(load, now);
        }
    }

    /// Adopts a load that came from the agent itself just now.
    pub(crate) fn on_fresh_load(&mut self, load: Load, now: Timestamp) {
        self.fresh_at = now;
        self.set_load(load, now);
    }

    fn set_load(&mut self, load: Load, now: Timestamp) {
        self.load = load;
        self.load_at = now;
    }

    pub(crate) fn on_sent(&mut self, expected: Duration, now: Timestamp) {
        self.sent_at = now;
        self.sent.push(Sent { at: now, expected });
    }

    pub(crate) fn on_end(&mut self, expected: Duration, sent_at: Timestamp) {
        let sent = Sent { at: sent_at, expected };
        if let Some(index) = self.sent.iter().position(|it| *it == sent) {
            self.sent.swap_remove(index);
        }
    }

    /// Whether the agent should get requests.
    pub(crate) fn standing(&self) -> Standing {
        match self.doubt() {
            None => Standing::Active,
            Some(_) => Standing::Doubtful,
        }
    }

    /// Why the agent gets requests only if no other can.
    pub(crate) fn doubt(&self) -> Option<&'static str> {
        if self.suspected {
            return Some("is silent");
        }
        match self.health.phase {
            Phase::Active => None,
            Phase::Ejected { .. } => Some("is ejected"),
            Phase::Probation { .. } => Some("is on probation"),
        }
    }

    /// Whether an agent on probation should get a trial request.
    pub(crate) fn is_due_for_trial(&self, now: Timestamp) -> bool {
        !self.suspected && self.sent.is_empty() && now.since(self.sent_at) >= TRIAL_INTERVAL
    }

    /// Whether an agent on probation has waited long for an idempotent request.
    pub(crate) fn lacks_idempotent_trials(&self, now: Timestamp) -> bool {
        match self.health.phase {
            Phase::Probation { since, healthy: 0 } => now.since(since) >= IDEMPOTENT_TRIAL_TIME,
            Phase::Probation { .. } => true,
            Phase::Active | Phase::Ejected { .. } => false,
        }
    }

    /// Time that a request sent now would wait for a slot.
    pub(crate) fn predicted_wait(&self) -> Duration {
        let (requests, work) = self.known();
        if requests < self.slots() {
            return Duration::ZERO;
        }
        let mean = work / requests;
        mean * (requests - self.slots() + 1) / self.slots()
    }

    /// Time that a request is at risk of waiting although a slot is free, because
    /// others who do not see it may take the slot too; `typical` is a run time.
    pub(crate) fn risk(&self, typical: Duration) -> Duration {
        let (requests, _) = self.known();
        let filled = f64::from(requests.min(self.slots())) / f64::from(self.slots());
        typical.mul_f64(RISK_WEIGHT * filled.powi(RISK_POWER)) / self.slots()
    }

    fn slots(&self) -> u32 {
        self.load.slots.max(1)
    }

    /// Requests that run or wait there, and their work.
    fn known(&self) -> (u32, Duration) {
        let unseen = self.sent.iter().filter(|it| it.at >= self.load_at);
        let seen = (self.load.busy + self.load.queued, self.load.backlog);
        unseen.fold(seen, |(count, work), it| (count + 1, work + it.expected))
    }
}
