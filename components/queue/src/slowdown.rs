//! Slowdown of the endpoint against the expected run times.

use std::time::Duration;

use ident::Timestamp;

/// Weight of the newest sample in the mean.
const WEIGHT: f64 = 0.05;
/// Largest ratio that one sample contributes; the smallest is its inverse.
const MAX_RATIO: f64 = 10.0;
/// Time without samples after which the ratio begins to return to one.
const FRESH_TIME: Duration = Duration::from_secs(5);
/// Half-life of the logarithm of the ratio, without samples.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Moving average of the ratio of actual to expected run times.
///
/// It returns to one while no request finishes. Otherwise an endpoint that was slow
/// for a while could go on to refuse all requests, and never get a new sample.
#[derive(Debug)]
pub(crate) struct Slowdown {
    ratio: f64,
    updated_at: Timestamp,
}

impl Slowdown {
    pub(crate) fn new() -> Slowdown {
        Slowdown { ratio: 1.0, updated_at: Timestamp::ZERO }
    }

    /// Records a request that ran for `actual`.
    pub(crate) fn record(&mut self, expected: Duration, actual: Duration, now: Timestamp) {
        if expected.is_zero() {
            return;
        }
        let ratio = self.ratio(now);
        let sample = actual.as_secs_f64() / expected.as_secs_f64();
        self.ratio = ratio + WEIGHT * (sample.clamp(1.0 / MAX_RATIO, MAX_RATIO) - ratio);
        self.updated_at = self.updated_at.max(now);
    }

    /// Expected run time, corrected by the ratio.
    pub(crate) fn apply(&self, expected: Duration, now: Timestamp) -> Duration {
        expected.mul_f64(self.ratio(now))
    }

    fn ratio(&self, now: Timestamp) -> f64 {
        let stale = now.since(self.updated_at).saturating_sub(FRESH_TIME).as_secs_f64();
        self.ratio.powf(0.5f64.powf(stale / HALF_LIFE.as_secs_f64()))
    }
}
