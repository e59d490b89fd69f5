//! Recent response times.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant decimal digits that are kept.
const DIGITS: u8 = 1;
/// Samples after which the older half of the window is forgotten.
const HALF_WINDOW: u64 = 500;
/// Samples without which no quantile is given.
const MIN_SAMPLES: u64 = 20;

/// Quantiles over the latest few hundred samples.
#[derive(Debug, Clone)]
pub struct Latency {
    older: Histogram<u32>,
    newer: Histogram<u32>,
}

impl Latency {
    /// Has no samples yet.
    pub fn new() -> Latency {
        Latency { older: histogram(), newer: histogram() }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: Duration) {
        if self.newer.len() >= HALF_WINDOW {
            std::mem::swap(&mut self.older, &mut self.newer);
            self.newer.reset();
        }
        let micros = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
        self.newer.saturating_record(micros.max(1));
    }

    /// Time that the given fraction of samples stayed below, once there are
    /// enough of them.
    pub fn quantile(&self, fraction: f64) -> Option<Duration> {
        let histogram = match self.newer.len() >= HALF_WINDOW / 2 || self.older.is_empty() {
            true => &self.newer,
            false => &self.older,
        };
        if histogram.len() < MIN_SAMPLES {
            return None;
        }
        Some(Duration::from_micros(histogram.value_at_quantile(fraction)))
    }
}

impl Default for Latency {
    fn default() -> Latency {
        Latency::new()
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("the bounds are constants")
}
