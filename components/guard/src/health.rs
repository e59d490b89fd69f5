//! Health of the endpoint, derived from the results of its runs.
//!
//! An endpoint that fails or stalls its runs is always the least loaded one and would attract
//! all work. It is ejected after consecutive failures of different jobs, or at once when it
//! stalls, stops answering or refuses work. After [`EJECTION_MS`] it is half-open: it gets one task
//! at a time as a trial until one is done.
//!
//! This is a circuit breaker, but the names in [`Health`] are the opposite of the usual ones:
//! `Open` means that the endpoint gets work, `Closed` that it gets none, and `Trial` that it is
//! half-open.

use mesh::{Health, JobId, Uptime};

/// Time for which an unhealthy endpoint is ejected before a trial, in ms.
const EJECTION_MS: u64 = 900;
/// Number of different jobs with consecutive failures after which an endpoint is ejected.
const MAX_FAILED_JOBS: usize = 2;
/// Weight of the newest sample in the exponentially weighted mean of the slowdown, in percent.
const SLOWDOWN_WEIGHT: u64 = 12;
/// Range to which a sample of the slowdown is clamped, in percent, to limit the effect of one bad
/// estimate of a run time.
const SLOWDOWN_RANGE: (u64, u64) = (20, 800);
/// Interval without samples after which the slowdown moves halfway back to 100 %, in ms.
const SLOWDOWN_DECAY_MS: u64 = 2_500;

/// Health and slowdown of one instance of the endpoint.
#[derive(Debug)]
pub(crate) struct HealthTracker {
    failed_jobs: Vec<JobId>,
    state: State,
    slowdown: u64,
    last_sample: Uptime,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Healthy,
    Ejected {
        until: Uptime,
    },
    /// Half-open.
    Trial,
}

impl HealthTracker {
    pub(crate) fn new(now: Uptime) -> HealthTracker {
        HealthTracker {
            failed_jobs: Vec::new(),
            state: State::Healthy,
            slowdown: 100,
            last_sample: now,
        }
    }

    /// Health by the results of runs alone.
    pub(crate) fn health(&self, now: Uptime) -> Health {
        match self.state {
            State::Healthy => Health::Open,
            State::Trial => Health::Trial,
            State::Ejected { until } if now >= until => Health::Trial,
            State::Ejected { .. } => Health::Closed,
        }
    }

    /// Exponentially weighted mean of the slowdown (run time over expected run time), in percent.
    pub(crate) fn slowdown(&self) -> u64 {
        self.slowdown
    }

    /// Records a successful run of `took` ms. Returns whether that ends an ejection or a trial.
    pub(crate) fn record_success(&mut self, now: Uptime, took: u64, expected: u64) -> bool {
        self.failed_jobs.clear();
        if let Some(sample) = (took * 100).checked_div(expected) {
            let (least, most) = SLOWDOWN_RANGE;
            let sample = sample.clamp(least, most);
            let weight = SLOWDOWN_WEIGHT;
            self.slowdown = (self.slowdown * (100 - weight) + sample * weight) / 100;
            self.last_sample = now;
        }
        let recovers = self.state != State::Healthy;
        self.state = State::Healthy;
        recovers
    }

    /// Records a failed run of `job`. Returns whether that ejects the endpoint.
    pub(crate) fn record_failure(&mut self, now: Uptime, job: JobId) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let ejects = self.state != State::Healthy || self.failed_jobs.len() >= MAX_FAILED_JOBS;
        if ejects {
            self.eject(now);
        }
        ejects
    }

    /// Ejects an endpoint that failed or stalled runs, did not answer, or refused work.
    pub(crate) fn eject(&mut self, now: Uptime) {
        self.state = State::Ejected { until: now + EJECTION_MS };
    }

    /// Decays a slowdown that has no recent samples, and starts the trial once it is due.
    pub(crate) fn tick(&mut self, now: Uptime) {
        if now.since(self.last_sample) >= SLOWDOWN_DECAY_MS {
            self.slowdown = (self.slowdown + 100) / 2;
            self.last_sample = now;
        }
        if let State::Ejected { until } = self.state
            && now >= until
        {
            self.state = State::Trial;
        }
    }
}
