//! Fair sharing of scarce capacity among routes.
//!
//! A burst of one kind of job fills the endpoints for all kinds. Jobs of routes with less
//! recent usage than the others may therefore have longer predicted waits before they are
//! refused, and those of routes with more usage are refused sooner, so that an overloaded
//! route bears its own refusals. The limit is the same for all jobs of a route and follows
//! their mean slack, so that short jobs are not refused before long ones.
//!
//! A short backlog is worth waiting for. A lasting one makes every job wait about as long as
//! the longest wait that is admitted, and makes many of them late. So the limit shrinks with
//! the fraction of recent jobs that found no free capacity on arrival.

use std::collections::HashMap;

use mesh::Uptime;

use crate::policy::Policy;

/// Half-life of a route's usage, in ms; shorter than a burst.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Usage below which a route counts as idle, as a fraction of the most used route's.
const IDLE_FRACTION: f64 = 0.05;
/// Bounds of a route's share factor, so that no route is refused or admitted entirely; with the
/// exponent, they scale the longest wait by 0.16 to 2.25.
const SHARE_FACTOR_BOUNDS: (f64, f64) = (0.4, 1.5);
/// Exponent of the share factor in the longest wait; with two, a route that uses twice its even
/// share may wait a quarter as long.
const SHARE_FACTOR_EXPONENT: i32 = 2;
/// Exponent of the ratio of a route's mean work to that of a job in its longest wait; a job of twice
/// the mean may wait four fifths as long.
const SIZE_FACTOR_EXPONENT: f64 = 0.3;
/// Bounds of that factor, so that no size is refused entirely.
const SIZE_FACTOR_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Weight of the newest job in [`Shares::congestion`].
const CONGESTION_WEIGHT: f64 = 0.05;
/// Weight of the newest job in [`Usage::slack`] and [`Usage::work`].
const MEAN_WEIGHT: f64 = 0.02;

/// Recent usage of the routes.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// Usage by the name of the route.
    routes: HashMap<String, Usage>,
    /// Time as of which usage is decayed.
    last_update: Uptime,
    /// Exponentially weighted mean of the fraction of jobs that found no free capacity on arrival,
    /// from 0 to 1.
    congestion: f64,
}

#[derive(Debug)]
struct Usage {
    /// Decayed work of admitted jobs, in thousandths of a core times ms.
    used: f64,
    /// Exponentially weighted mean of the time from arrival to a job's latest start, in ms.
    slack: f64,
    /// Exponentially weighted mean of the work of a job, in thousandths of a core times ms.
    work: f64,
}

impl Shares {
    /// Records the arrival of a job, with the time until its latest start in ms, and its work.
    pub(crate) fn record_arrival(&mut self, route: &str, slack: u64, work: u64) {
        let (slack, work) = (slack as f64, work as f64);
        match self.routes.get_mut(route) {
            Some(usage) => {
                usage.slack += MEAN_WEIGHT * (slack - usage.slack);
                usage.work += MEAN_WEIGHT * (work - usage.work);
            }
            None => {
                self.routes.insert(route.to_owned(), Usage { used: 0.0, slack, work });
            }
        }
    }

    /// Records whether a job had to wait for free capacity on arrival.
    pub(crate) fn record_wait(&mut self, waits: bool) {
        self.congestion += CONGESTION_WEIGHT * (f64::from(u8::from(waits)) - self.congestion);
    }

    /// Records the work of an admitted job.
    pub(crate) fn record_admission(&mut self, now: Uptime, route: &str, work: u64) {
        let decay = 0.5_f64.powf(now.since(self.last_update) as f64 / HALF_LIFE_MS);
        self.last_update = now;
        for usage in self.routes.values_mut() {
            usage.used *= decay;
        }
        if let Some(usage) = self.routes.get_mut(route) {
            usage.used += work as f64;
        }
    }

    /// Longest predicted wait with which a job of a route is admitted, in ms, by its work.
    pub(crate) fn longest_wait(&self, route: &str, work: u64, policy: &Policy) -> u64 {
        let Some(usage) = self.routes.get(route) else { return 0 };
        let (base, congested) = (policy.base_wait as f64, policy.congested_wait as f64);
        let percent = base + (congested - base) * self.congestion;
        let share = self.share_factor(usage).powi(SHARE_FACTOR_EXPONENT);
        let (least, greatest) = SIZE_FACTOR_BOUNDS;
        let ratio = usage.work / (work as f64).max(1.0);
        let size = ratio.powf(SIZE_FACTOR_EXPONENT).clamp(least, greatest);
        (usage.slack * share * size * percent / 100.0) as u64
    }

    /// Ratio of an even share to the usage of a route; above one for a route below its share.
    fn share_factor(&self, usage: &Usage) -> f64 {
        let (least, greatest) = SHARE_FACTOR_BOUNDS;
        let used = self.routes.values().map(|it| it.used);
        let most = used.clone().fold(0.0, f64::max);
        let in_use: Vec<f64> = used.filter(|it| *it > most * IDLE_FRACTION).collect();
        let even = in_use.iter().sum::<f64>() / in_use.len().max(1) as f64;
        if usage.used <= 0.0 { greatest } else { (even / usage.used).clamp(least, greatest) }
    }
}
