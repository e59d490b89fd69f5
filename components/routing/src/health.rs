//! Outlier detection: failure rate and slowdown of one agent.
//!
//! The slowdown is the run time over the expected run time. An outlier is ejected for
//! a while and is half-open afterwards: it gets one trial request at a time. It becomes
//! active once enough trial requests in a row have succeeded, and is ejected again when
//! one fails.

use std::time::Duration;

use ident::Timestamp;

/// Weight of the newest sample in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.03;
/// Weight of a trial request in the slowdown.
const TRIAL_SLOWDOWN_WEIGHT: f64 = 0.3;
/// Largest slowdown that one sample contributes; the smallest is its reciprocal.
const MAX_SAMPLE_SLOWDOWN: f64 = 16.0;
/// Difference of the failure rate to the group's baseline above which an agent is
/// ejected. Five failures in quick succession exceed it, starting from a failure rate
/// of zero.
const MAX_EXCESS_FAILURES: f64 = 0.35;
/// Multiple of the group's baseline slowdown above which an agent is ejected.
const MAX_SLOWDOWN: f64 = 3.0;
/// Multiple of the group's baseline slowdown below which an agent counts as no slower
/// than its group.
const MIN_SLOWDOWN: f64 = 1.3;
/// Half-life of the failure rate.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Half-life of the logarithm of the slowdown.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(30);
/// Failure rate below which the count of ejections starts again.
const RESET_FAILURE_RATE: f64 = 0.01;
/// Duration of the first ejection; it doubles with each one in a row.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);
/// Largest number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 4;
/// Successful trial requests in a row after which a half-open agent is active.
const REQUIRED_TRIALS: u32 = 5;

/// Health of an agent, estimated from its replies.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Health {
    /// Whether the agent gets requests.
    pub(crate) phase: Phase,
    /// Exponentially weighted mean of the share of requests that failed.
    pub(crate) failure_rate: f64,
    /// Exponentially weighted mean of the logarithm of the slowdown.
    pub(crate) log_slowdown: f64,
    /// Ejections since the failure rate was last low.
    ejections: u32,
    decayed_at: Timestamp,
}

/// Health of a whole group, with which its agents are compared.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct BaselineHealth {
    /// Lower quartile of the failure rates, so that failing agents are outliers even
    /// if most of the group fails.
    pub(crate) failure_rate: f64,
    /// Median of the logarithms of the slowdowns.
    pub(crate) log_slowdown: f64,
}

/// Whether an agent gets requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Gets requests.
    Active,
    /// Ejected: gets no requests until the given time.
    Ejected { until: Timestamp },
    /// Half-open: gets one trial request at a time; `successes` have succeeded so far.
    HalfOpen { since: Timestamp, successes: u32 },
}

impl Health {
    pub(crate) fn new(now: Timestamp) -> Health {
        let phase = Phase::Active;
        Health { phase, failure_rate: 0.0, log_slowdown: 0.0, ejections: 0, decayed_at: now }
    }

    /// Health after a restart: an agent that was ejected or half-open is half-open
    /// from now on.
    pub(crate) fn after_restart(&self, now: Timestamp) -> Health {
        match self.phase {
            Phase::Active => Health::new(now),
            Phase::Ejected { .. } | Phase::HalfOpen { .. } => self.half_open(now),
        }
    }

    fn half_open(&self, now: Timestamp) -> Health {
        let phase = Phase::HalfOpen { since: now, successes: 0 };
        Health { phase, ejections: self.ejections, ..Health::new(now) }
    }

    /// Records a request that succeeded, with its slowdown.
    pub(crate) fn on_success(&mut self, slowdown: f64, now: Timestamp) {
        self.decay(now);
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
        let limit = MAX_SAMPLE_SLOWDOWN.ln();
        let sample = slowdown.max(f64::MIN_POSITIVE).ln().clamp(-limit, limit);
        let weight = match self.phase {
            Phase::Active | Phase::Ejected { .. } => SLOWDOWN_WEIGHT,
            Phase::HalfOpen { .. } => TRIAL_SLOWDOWN_WEIGHT,
        };
        self.log_slowdown += weight * (sample - self.log_slowdown);
        if let Phase::HalfOpen { since, successes } = self.phase {
            self.phase = match successes + 1 < REQUIRED_TRIALS {
                true => Phase::HalfOpen { since, successes: successes + 1 },
                false => Phase::Active,
            };
        }
    }

    /// Records a request that failed or was lost; a half-open agent is ejected.
    pub(crate) fn on_failure(&mut self, now: Timestamp) {
        self.decay(now);
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        match self.phase {
            Phase::HalfOpen { .. } => self.eject(now),
            Phase::Active | Phase::Ejected { .. } => {}
        }
    }

    /// Whether the agent fails more often or is slower than its group allows.
    pub(crate) fn is_outlier(&self, baseline: &BaselineHealth) -> bool {
        self.failure_rate > baseline.failure_rate + MAX_EXCESS_FAILURES
            || self.log_slowdown > baseline.log_slowdown + MAX_SLOWDOWN.ln()
    }

    /// Factor by which the agent is slower than its group; one if the difference
    /// is small.
    pub(crate) fn relative_slowdown(&self, baseline: &BaselineHealth) -> f64 {
        let factor = (self.log_slowdown - baseline.log_slowdown).exp();
        if factor < MIN_SLOWDOWN { 1.0 } else { factor }
    }

    /// Failure rate above the group's baseline.
    pub(crate) fn excess_failures(&self, baseline: &BaselineHealth) -> f64 {
        (self.failure_rate - baseline.failure_rate).max(0.0)
    }

    /// Whether the agent gets trial requests only.
    pub(crate) fn is_half_open(&self) -> bool {
        matches!(self.phase, Phase::HalfOpen { .. })
    }

    /// Ejects the agent; each ejection in a row lasts longer.
    pub(crate) fn eject(&mut self, now: Timestamp) {
        let time = BASE_EJECTION_TIME * 2u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.phase = Phase::Ejected { until: now + time };
    }

    /// Decays the means, makes the agent half-open when its ejection is over, and resets
    /// the count of ejections once the failure rate is low.
    pub(crate) fn update(&mut self, now: Timestamp) {
        self.decay(now);
        match self.phase {
            Phase::Ejected { until } if now >= until => {
                let log_slowdown = self.log_slowdown;
                *self = Health { log_slowdown, ..self.half_open(now) };
            }
            Phase::Active if self.failure_rate < RESET_FAILURE_RATE => self.ejections = 0,
            Phase::Active | Phase::Ejected { .. } | Phase::HalfOpen { .. } => {}
        }
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = self.decayed_at.max(now);
        self.failure_rate *= 0.5f64.powf(elapsed / FAILURE_HALF_LIFE.as_secs_f64());
        self.log_slowdown *= 0.5f64.powf(elapsed / SLOWDOWN_HALF_LIFE.as_secs_f64());
    }
}
