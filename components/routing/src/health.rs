//! Whether an agent gets requests.

use std::time::Duration;

use ident::Timestamp;

use crate::SampleOutcome;

/// Weight of the newest sample in the failure rate and the lag.
const WEIGHT: f64 = 0.1;
/// Samples without which nothing is concluded.
const MIN_SAMPLES: u32 = 5;
/// Failure rate above that of the group's median from which an agent is ejected.
const MAX_FAILURES: f64 = 0.5;
/// Multiple of the median lag of the group from which an agent is ejected.
const MAX_LAG: f64 = 4.0;
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
    /// Ratio of run times to what was expected.
    pub(crate) lag: f64,
    samples: u32,
    ejections: u32,
}

/// Whether an agent gets requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It gets requests.
    Active,
    /// It gets none until the given time.
    Ejected { until: Timestamp },
    /// It gets one trial request at a time; so many have ended well.
    Probation { healthy: u32 },
}

impl Default for Health {
    fn default() -> Health {
        Health { phase: Phase::Active, failures: 0.0, lag: 1.0, samples: 0, ejections: 0 }
    }
}

impl Health {
    /// Learns from a request that ended.
    pub(crate) fn on_sample(&mut self, outcome: SampleOutcome, lag: Option<f64>, now: Timestamp) {
        let failed = match outcome {
            SampleOutcome::Healthy => 0.0,
            SampleOutcome::Failed | SampleOutcome::Lost => 1.0,
            SampleOutcome::Refused | SampleOutcome::Cancelled => return,
        };
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.failures += weight * (failed - self.failures);
        if let Some(lag) = lag {
            self.lag += weight * (lag - self.lag);
        }
        self.on_trial(failed > 0.0, now);
    }

    /// Whether the samples speak for ejection.
    pub(crate) fn is_outlier(&self, median_failures: f64, median_lag: f64) -> bool {
        self.samples >= MIN_SAMPLES
            && (self.failures > median_failures + MAX_FAILURES || self.lag > median_lag * MAX_LAG)
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

    /// Begins the probation when the ejection is over.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        if let Phase::Ejected { until } = self.phase
            && now >= until
        {
            self.phase = Phase::Probation { healthy: 0 };
            self.samples = 0;
            self.failures = 0.0;
            self.lag = 1.0;
        }
    }

    fn on_trial(&mut self, failed: bool, now: Timestamp) {
        let Phase::Probation { healthy } = self.phase else {
            return;
        };
        match failed {
            true => self.eject(now),
            false if healthy + 1 >= TRIALS => self.phase = Phase::Active,
            false => self.phase = Phase::Probation { healthy: healthy + 1 },
        }
    }
}
