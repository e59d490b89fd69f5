//! Whether an agent gets requests.

use std::time::Duration;

use ident::Timestamp;

/// Weight of the newest sample in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in the lag.
const LAG_WEIGHT: f64 = 0.03;
/// Weight of a trial in the lag.
const TRIAL_LAG_WEIGHT: f64 = 0.3;
/// Largest factor by which one run time may differ from what was expected.
const MAX_FACTOR: f64 = 16.0;
/// Failure rate above the usual one of the group from which an agent is ejected.
const MAX_FAILURES: f64 = 0.35;
/// Multiple of the usual lag of the group from which an agent is ejected.
const MAX_LAG: f64 = 3.0;
/// Multiple of the usual lag of the group up to which it does not count.
const USUAL_LAG: f64 = 1.3;
/// Time in which the failure rate halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time in which the lag, as a logarithm, halves.
const LAG_HALF_LIFE: Duration = Duration::from_secs(30);
/// Failure rate below which earlier ejections are forgotten.
const FORGIVEN: f64 = 0.01;
/// Time of the first ejection; each one in a row doubles it.
const EJECTION_TIME: Duration = Duration::from_secs(5);
/// Doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 4;
/// Healthy trials in a row that end a probation.
const TRIALS: u32 = 5;

/// Health of an agent, as its samples show it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Health {
    /// Whether the agent gets requests.
    pub(crate) phase: Phase,
    /// Share of requests that failed lately.
    pub(crate) failures: f64,
    /// Ratio of run times to what was expected, as a logarithm.
    pub(crate) lag: f64,
    /// Ejections without a healthy time between them.
    ejections: u32,
    faded_at: Timestamp,
}

/// Health that is usual in a group, to which its agents are compared.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct UsualHealth {
    /// Lower quartile, so that agents stand out even if most of them fail.
    pub(crate) failures: f64,
    /// Median.
    pub(crate) lag: f64,
}

/// Whether an agent gets requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It gets requests.
    Active,
    /// It gets none until the given time.
    Ejected { until: Timestamp },
    /// It gets one trial request at a time; so many have ended well.
    Probation { since: Timestamp, healthy: u32 },
}

impl Health {
    pub(crate) fn new(now: Timestamp) -> Health {
        let phase = Phase::Active;
        Health { phase, failures: 0.0, lag: 0.0, ejections: 0, faded_at: now }
    }

    /// Health after a restart: what was out of favour has to prove itself.
    pub(crate) fn after_restart(&self, now: Timestamp) -> Health {
        match self.phase {
            Phase::Active => Health::new(now),
            Phase::Ejected { .. } | Phase::Probation { .. } => self.on_probation(now),
        }
    }

    fn on_probation(&self, now: Timestamp) -> Health {
        let phase = Phase::Probation { since: now, healthy: 0 };
        Health { phase, ejections: self.ejections, ..Health::new(now) }
    }

    /// Learns from a request that ran in `ratio` times the expected time.
    pub(crate) fn on_success(&mut self, ratio: f64, now: Timestamp) {
        self.fade(now);
        self.failures -= FAILURE_WEIGHT * self.failures;
        let limit = MAX_FACTOR.ln();
        let sample = ratio.max(f64::MIN_POSITIVE).ln().clamp(-limit, limit);
        let weight = match self.phase {
            Phase::Active | Phase::Ejected { .. } => LAG_WEIGHT,
            Phase::Probation { .. } => TRIAL_LAG_WEIGHT,
        };
        self.lag += weight * (sample - self.lag);
        if let Phase::Probation { since, healthy } = self.phase {
            self.phase = match healthy + 1 < TRIALS {
                true => Phase::Probation { since, healthy: healthy + 1 },
                false => Phase::Active,
            };
        }
    }

    /// Learns from a request that failed or was lost.
    pub(crate) fn on_failure(&mut self, now: Timestamp) {
        self.fade(now);
        self.failures += FAILURE_WEIGHT * (1.0 - self.failures);
        match self.phase {
            Phase::Probation { .. } => self.eject(now),
            Phase::Active | Phase::Ejected { .. } => {}
        }
    }

    /// Whether the samples speak for ejection.
    pub(crate) fn is_outlier(&self, usual: &UsualHealth) -> bool {
        self.failures > usual.failures + MAX_FAILURES || self.lag > usual.lag + MAX_LAG.ln()
    }

    /// Factor by which the agent's run times exceed the usual.
    pub(crate) fn slowdown(&self, usual: &UsualHealth) -> f64 {
        let factor = (self.lag - usual.lag).exp();
        if factor < USUAL_LAG { 1.0 } else { factor }
    }

    /// Failures beyond what is usual in the group.
    pub(crate) fn excess_failures(&self, usual: &UsualHealth) -> f64 {
        (self.failures - usual.failures).max(0.0)
    }

    /// Whether it gets trial requests only.
    pub(crate) fn is_on_probation(&self) -> bool {
        matches!(self.phase, Phase::Probation { .. })
    }

    /// Takes it out for a while.
    pub(crate) fn eject(&mut self, now: Timestamp) {
        let time = EJECTION_TIME * 2u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.phase = Phase::Ejected { until: now + time };
    }

    /// Begins the probation when the ejection is over, and forgives over time.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.fade(now);
        match self.phase {
            Phase::Ejected { until } if now >= until => {
                let lag = self.lag;
                *self = Health { lag, ..self.on_probation(now) };
            }
            Phase::Active if self.failures < FORGIVEN => self.ejections = 0,
            Phase::Active | Phase::Ejected { .. } | Phase::Probation { .. } => {}
        }
    }

    fn fade(&mut self, now: Timestamp) {
        let silent = now.since(self.faded_at).as_secs_f64();
        self.faded_at = self.faded_at.max(now);
        self.failures *= 0.5f64.powf(silent / FAILURE_HALF_LIFE.as_secs_f64());
        self.lag *= 0.5f64.powf(silent / LAG_HALF_LIFE.as_secs_f64());
    }
}
