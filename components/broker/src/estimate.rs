//! Learns how declared run times relate to real ones.
//!
//! Callers' estimates are off by a factor that differs by route. The factor decides the
//! order of waiting jobs and what is refused, so it follows the newest runs.

use std::collections::HashMap;

/// Least weight of the newest run in the mean; the first runs weigh more.
const WEIGHT: f64 = 0.03;
/// Bounds of what one run may say, so that one bad estimate does not rule the mean.
const BOUNDS: (f64, f64) = (0.2, 5.0);

/// Real run time against the declared one, by route.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    factors: HashMap<String, Factor>,
}

#[derive(Debug)]
struct Factor {
    mean: f64,
    runs: u32,
}

impl Estimates {
    /// Expected run time of a task that declares `declared` ms.
    pub(crate) fn expected(&self, route: &str, declared: u32) -> u32 {
        let factor = self.factors.get(route).map_or(1.0, |it| it.mean);
        (f64::from(declared.max(1)) * factor).ceil() as u32
    }

    /// Takes a finished run in.
    pub(crate) fn learn(&mut self, route: &str, declared: u32, took: u32) {
        let (least, most) = BOUNDS;
        let sample = (f64::from(took) / f64::from(declared.max(1))).clamp(least, most);
        match self.factors.get_mut(route) {
            Some(factor) => {
                factor.runs = factor.runs.saturating_add(1);
                let weight = (1.0 / f64::from(factor.runs)).max(WEIGHT);
                factor.mean += weight * (sample - factor.mean);
            }
            None => {
                // The declaration counts as much as the first run.
                let mean = (1.0 + sample) / 2.0;
                self.factors.insert(route.to_owned(), Factor { mean, runs: 2 });
            }
        }
    }
}
