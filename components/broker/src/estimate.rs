//! Corrects declared run times by those observed.
//!
//! Callers' estimates are off by a factor that differs by route. The corrected estimate decides
//! the order of waiting jobs and which are refused, so the factor follows the newest runs.

use std::collections::HashMap;

/// Smallest weight of the newest run in the exponentially weighted mean; the first runs weigh
/// more.
const MIN_WEIGHT: f64 = 0.03;
/// Bounds of one sample, so that a single bad estimate does not dominate the mean.
const SAMPLE_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Ratio of observed to declared run times, by route.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    factors: HashMap<String, RunTimeFactor>,
}

#[derive(Debug)]
struct RunTimeFactor {
    mean: f64,
    runs: u32,
}

impl Estimates {
    /// Expected run time of a task that declares `declared` ms, in ms.
    pub(crate) fn expected(&self, route: &str, declared: u32) -> u32 {
        let factor = self.factors.get(route).map_or(1.0, |it| it.mean);
        (f64::from(declared.max(1)) * factor).ceil() as u32
    }

    /// Records a finished run that took `took` ms.
    pub(crate) fn record(&mut self, route: &str, declared: u32, took: u32) {
        let (least, most) = SAMPLE_BOUNDS;
        let sample = (f64::from(took) / f64::from(declared.max(1))).clamp(least, most);
        match self.factors.get_mut(route) {
            Some(factor) => {
                factor.runs = factor.runs.saturating_add(1);
                let weight = (1.0 / f64::from(factor.runs)).max(MIN_WEIGHT);
                factor.mean += weight * (sample - factor.mean);
            }
            None => {
                // The declared run time has the same weight as the first run.
                let mean = (1.0 + sample) / 2.0;
                self.factors.insert(route.to_owned(), RunTimeFactor { mean, runs: 2 });
            }
        }
    }
}
