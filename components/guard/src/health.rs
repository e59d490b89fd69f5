//! Judges by its work whether the endpoint is sound.
//!
//! An endpoint that fails or stalls what it is given is the least loaded one and would draw
//! all work. It is closed after failures of different jobs in a row, or at once when it
//! stalls or is silent, and then shown one task at a time until one is done.

use mesh::{Health, JobId, Uptime};

/// Time for which a failing endpoint is closed before a trial, in ms.
const CLOSED_MS: u64 = 900;
/// Failures in a row, of different jobs, that close an endpoint.
const MAX_FAILED_JOBS: usize = 2;
/// Weight of the newest run in the mean of slowness, in percent.
const SLOWNESS_WEIGHT: u64 = 12;
/// Bounds of one run's slowness, in percent, so that one bad estimate does not rule the mean.
const SLOWNESS_BOUNDS: (u64, u64) = (20, 800);
/// Time after which slowness without new runs is halved towards the normal, in ms.
const SLOWNESS_FADES_MS: u64 = 2_500;

/// Health of one incarnation of the endpoint.
#[derive(Debug)]
pub(crate) struct Soundness {
    failed: Vec<JobId>,
    state: State,
    slowness: u64,
    sampled: Uptime,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Sound,
    Closed { until: Uptime },
    Trial,
}

impl Soundness {
    pub(crate) fn new(now: Uptime) -> Soundness {
        Soundness { failed: Vec::new(), state: State::Sound, slowness: 100, sampled: now }
    }

    /// Whether it takes work.
    pub(crate) fn health(&self, now: Uptime) -> Health {
        match self.state {
            State::Sound => Health::Open,
            State::Trial => Health::Trial,
            State::Closed { until } if now >= until => Health::Trial,
            State::Closed { .. } => Health::Closed,
        }
    }

    /// Run time against the expected one, in percent.
    pub(crate) fn slowness(&self) -> u64 {
        self.slowness
    }

    /// A run is done. Returns whether that opens the endpoint.
    pub(crate) fn done(&mut self, now: Uptime, took: u64, expected: u64) -> bool {
        self.failed.clear();
        if let Some(sample) = (took * 100).checked_div(expected) {
            let (least, most) = SLOWNESS_BOUNDS;
            let sample = sample.clamp(least, most);
            let weight = SLOWNESS_WEIGHT;
            self.slowness = (self.slowness * (100 - weight) + sample * weight) / 100;
            self.sampled = now;
        }
        let opens = self.state != State::Sound;
        self.state = State::Sound;
        opens
    }

    /// A run of `job` failed. Returns whether that closes the endpoint.
    pub(crate) fn failed(&mut self, now: Uptime, job: JobId) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        let closes = self.state != State::Sound || self.failed.len() >= MAX_FAILED_JOBS;
        if closes {
            self.close(now);
        }
        closes
    }

    /// It stalled, was silent, or refused work.
    pub(crate) fn close(&mut self, now: Uptime) {
        self.state = State::Closed { until: now + CLOSED_MS };
    }

    /// Fades what is known of its speed.
    pub(crate) fn tick(&mut self, now: Uptime) {
        if now.since(self.sampled) >= SLOWNESS_FADES_MS {
            self.slowness = (self.slowness + 100) / 2;
            self.sampled = now;
        }
        if let State::Closed { until } = self.state
            && now >= until
        {
            self.state = State::Trial;
        }
    }
}
