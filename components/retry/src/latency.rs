//! Quantiles of recent response times.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest recorded time in microseconds; longer ones are clamped.
const MAX_MICROS: u64 = 600_000_000;
/// Significant decimal digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Samples in each of the two histograms; when the newer one is full, the older one
/// is discarded.
const HALF_WINDOW: u64 = 500;
/// Fewest samples from which a quantile is computed.
const MIN_SAMPLES: u64 = 20;

/// Histograms of the latest few hundred samples.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    older: Histogram<u32>,
    newer: Histogram<u32>,
}

impl LatencyWindow {
    /// Creates an empty window.
    pub fn new() -> LatencyWindow {
        LatencyWindow { older: histogram(), newer: histogram() }
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

    /// Quantile of the samples; `None` until there are enough of them.
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

impl Default for LatencyWindow {
    fn default() -> LatencyWindow {
        LatencyWindow::new()
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are constants")
}
