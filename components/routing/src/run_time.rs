//! Estimates of run times and hedge delays, by service and kind.

use std::{cell::Cell, collections::HashMap, time::Duration};

use ident::Timestamp;
use retry::LatencyWindow;

/// Run time of a kind without samples and without a declared run time.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);
/// Smallest weight of the newest sample; the first few weigh more.
const MIN_WEIGHT: f64 = 0.05;
/// Largest factor by which a sample may differ from the mean; larger ones are clamped.
const MAX_FACTOR: f64 = 8.0;
/// Shortest time without samples after which an estimate that is used decays; twice the
/// estimate is added.
const MIN_DECAY_DELAY: Duration = Duration::from_secs(10);
/// Uses since the latest sample up to which an estimate does not decay.
const MAX_UNSAMPLED_USES: u32 = 20;
/// Half-life of an estimate that decays.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Smallest factor to which an estimate decays.
const MIN_DECAY_FACTOR: f64 = 1.0 / 16.0;
/// Quantile of response times that sets the hedge delay.
const HEDGE_QUANTILE: f64 = 0.99;
/// Shortest hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Run time estimates of every kind of every service.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    services: HashMap<String, HashMap<String, KindEstimates>>,
}

/// Estimates for one kind.
#[derive(Debug, Default)]
struct KindEstimates {
    /// Run time that the inventory gives.
    from_inventory: Option<Duration>,
    /// Actual run time, in seconds.
    run_time: Estimate,
    /// Actual run time over the run time that the caller declared.
    ratio: Estimate,
    /// Time of the latest sample.
    updated_at: Timestamp,
    /// Uses of the estimate since the last sample.
    unsampled_uses: Cell<u32>,
    /// Response times over expected run times, one second for each unit of the ratio, as
    /// the window takes durations.
    response_ratios: LatencyWindow,
}

/// Exponentially weighted mean of logarithms, with their mean absolute deviation. With
/// logarithms no single sample counts much.
#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl RunTimes {
    /// Sets the run time that the inventory gives for the kind; a change discards
    /// the estimates.
    pub(crate) fn set_inventory_run_time(&mut self, service: &str, kind: &str, run_time: Duration) {
        let kind = self.kind_mut(service, kind);
        if kind.from_inventory.is_some_and(|it| it != run_time) {
            *kind = KindEstimates::default();
        }
        kind.from_inventory = Some(run_time);
    }

    /// Records the run time of a request.
    pub(crate) fn record(
        &mut self,
        service: &str,
        kind: &str,
        declared: Option<Duration>,
        run_time: Duration,
        now: Timestamp,
    ) {
        let kind = self.kind_mut(service, kind);
        let seconds = run_time.as_secs_f64().max(1e-6);
        kind.run_time.update(seconds);
        if let Some(declared) = declared.filter(|it| !it.is_zero()) {
            kind.ratio.update(seconds / declared.as_secs_f64());
        }
        kind.updated_at = now;
        kind.unsampled_uses.set(0);
    }

    /// Records the response time of a request that was expected to run for `expected`.
    pub(crate) fn record_response(
        &mut self,
        service: &str,
        kind: &str,
        expected: Duration,
        response: Duration,
    ) {
        let ratio = response.as_secs_f64() / expected.as_secs_f64().max(1e-6);
        self.kind_mut(service, kind).response_ratios.record(Duration::from_secs_f64(ratio));
    }

    /// Expected run time of a request.
    ///
    /// An estimate that is used many times without a new sample decays. Otherwise a
    /// kind whose requests are all refused because of a high estimate would never
    /// run, and the estimate would never be corrected.
    pub(crate) fn expected_run_time(
        &self,
        service: &str,
        kind: &str,
        declared: Option<Duration>,
        now: Timestamp,
    ) -> Duration {
        let Some(kind) = self.services.get(service).and_then(|kinds| kinds.get(kind)) else {
            return declared.unwrap_or(DEFAULT_RUN_TIME);
        };
        let Some(estimate) = kind.estimate(declared) else {
            return declared.or(kind.from_inventory).unwrap_or(DEFAULT_RUN_TIME);
        };
        estimate.mul_f64(kind.decay_factor(estimate, now))
    }

    /// Time after which to send a hedge for a request with the given expected run
    /// time; `None` until there are enough samples.
    pub(crate) fn hedge_delay(
        &self,
        service: &str,
        kind: &str,
        expected: Duration,
    ) -> Option<Duration> {
        let ratio =
            self.services.get(service)?.get(kind)?.response_ratios.quantile(HEDGE_QUANTILE)?;
        Some(expected.mul_f64(ratio.as_secs_f64()).max(MIN_HEDGE_DELAY))
    }

    fn kind_mut(&mut self, service: &str, kind: &str) -> &mut KindEstimates {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), HashMap::new());
        }
        let kinds = self.services.get_mut(service).expect("the service was just added");
        if !kinds.contains_key(kind) {
            kinds.insert(kind.to_owned(), KindEstimates::default());
        }
        kinds.get_mut(kind).expect("the kind was just added")
    }
}

impl KindEstimates {
    /// Uses the ratio to the declared run time if that has the smaller deviation.
    fn estimate(&self, declared: Option<Duration>) -> Option<Duration> {
        if let Some(declared) = declared
            && self.ratio.samples > 0
            && self.ratio.deviation < self.run_time.deviation
        {
            return Some(declared.mul_f64(self.ratio.mean.exp()));
        }
        (self.run_time.samples > 0).then(|| Duration::from_secs_f64(self.run_time.mean.exp()))
    }

    /// Factor to which the estimate has decayed; counts this use.
    fn decay_factor(&self, estimate: Duration, now: Timestamp) -> f64 {
        let uses = self.unsampled_uses.get().saturating_add(1);
        self.unsampled_uses.set(uses);
        if uses <= MAX_UNSAMPLED_USES {
            return 1.0;
        }
        let delay = MIN_DECAY_DELAY + estimate * 2;
        let overdue = now.since(self.updated_at).saturating_sub(delay).as_secs_f64();
        0.5f64.powf(overdue / HALF_LIFE.as_secs_f64()).max(MIN_DECAY_FACTOR)
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
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.samples));
        let limit = MAX_FACTOR.ln();
        let difference = (sample - self.mean).clamp(-limit, limit);
        self.deviation += weight * (difference.abs() - self.deviation);
        self.mean += weight * difference;
    }
}
