//! Learnt run times.

use std::{collections::HashMap, time::Duration};

use ident::Timestamp;
use retry::Latency;

/// Run time of a kind of which nothing is known.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);
/// Weight of the newest sample once there are many.
const WEIGHT: f64 = 0.05;
/// Largest factor by which one sample may differ from the estimate.
const MAX_FACTOR: f64 = 8.0;
/// Time without samples after which an estimate begins to shrink.
const FRESH_TIME: Duration = Duration::from_secs(10);
/// Time without samples in which an estimate halves.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Smallest part that is left of an estimate.
const MIN_PART: f64 = 0.125;
/// Fraction of responses that are faster than the hedge delay.
const HEDGE_QUANTILE: f64 = 0.95;

/// Run times of every kind of every service.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    services: HashMap<String, HashMap<String, Kind>>,
}

/// Estimates for one kind, as logarithms so that no single sample counts much.
#[derive(Debug, Default)]
struct Kind {
    published: Option<Duration>,
    actual: Estimate,
    ratio: Estimate,
    learnt_at: Timestamp,
    responses: Latency,
}

/// Exponentially weighted mean of logarithms, with its mean error.
#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    mean: f64,
    error: f64,
    samples: u32,
}

impl RunTimes {
    /// Sets the run time that the inventory gives for the kind.
    pub(crate) fn publish(&mut self, service: &str, kind: &str, run_time: Duration) {
        self.kind_mut(service, kind).published = Some(run_time);
    }

    /// Learns from a request that ran.
    pub(crate) fn learn(
        &mut self,
        service: &str,
        kind: &str,
        declared: Option<Duration>,
        run_time: Duration,
        now: Timestamp,
    ) {
        let kind = self.kind_mut(service, kind);
        let seconds = run_time.as_secs_f64().max(1e-6);
        kind.actual.update(seconds);
        if let Some(declared) = declared.filter(|it| !it.is_zero()) {
            kind.ratio.update(seconds / declared.as_secs_f64());
        }
        kind.learnt_at = now;
    }

    /// Learns from a response.
    pub(crate) fn learn_response(&mut self, service: &str, kind: &str, response: Duration) {
        self.kind_mut(service, kind).responses.record(response);
    }

    /// Run time to expect.
    ///
    /// An estimate that no sample confirms shrinks, so that a kind which is
    /// refused for its estimate gets another trial.
    pub(crate) fn expected(
        &self,
        service: &str,
        kind: &str,
        declared: Option<Duration>,
        now: Timestamp,
    ) -> Duration {
        let Some(kind) = self.services.get(service).and_then(|kinds| kinds.get(kind)) else {
            return declared.unwrap_or(DEFAULT_RUN_TIME);
        };
        let Some(learnt) = kind.estimate(declared) else {
            return declared.or(kind.published).unwrap_or(DEFAULT_RUN_TIME);
        };
        learnt.mul_f64(part_left(now.since(kind.learnt_at)))
    }

    /// Time after which a response is late enough for a hedge.
    pub(crate) fn hedge_delay(&self, service: &str, kind: &str) -> Option<Duration> {
        self.services.get(service)?.get(kind)?.responses.quantile(HEDGE_QUANTILE)
    }

    fn kind_mut(&mut self, service: &str, kind: &str) -> &mut Kind {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), HashMap::new());
        }
        let kinds = self.services.get_mut(service).expect("the service was just added");
        if !kinds.contains_key(kind) {
            kinds.insert(kind.to_owned(), Kind::default());
        }
        kinds.get_mut(kind).expect("the kind was just added")
    }
}

impl Kind {
    /// By the ratio to the declared run time if that has been more precise.
    fn estimate(&self, declared: Option<Duration>) -> Option<Duration> {
        if let Some(declared) = declared
            && self.ratio.samples > 0
            && self.ratio.error < self.actual.error
        {
            return Some(declared.mul_f64(self.ratio.mean.exp()));
        }
        (self.actual.samples > 0).then(|| Duration::from_secs_f64(self.actual.mean.exp()))
    }
}

impl Estimate {
    fn update(&mut self, sample: f64) {
        let sample = sample.ln();
        if self.samples == 0 {
            self.mean = sample;
            self.samples = 1;
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        let limit = MAX_FACTOR.ln();
        let difference = (sample - self.mean).clamp(-limit, limit);
        self.error += weight * (difference.abs() - self.error);
        self.mean += weight * difference;
    }
}

fn part_left(silent: Duration) -> f64 {
    let stale = silent.saturating_sub(FRESH_TIME);
    let halvings = stale.as_secs_f64() / HALF_LIFE.as_secs_f64();
    0.5f64.powf(halvings).max(MIN_PART)
}
