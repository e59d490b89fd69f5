//! Expected end of a run, from its progress and its expected run time.

use mesh::Uptime;

/// Least progress from which the end of a run is extrapolated, in percent. Endpoints report whole
/// percents, so that less progress gives an error of more than a tenth.
const MIN_PERCENT: u64 = 10;
/// Time without progress after which a run is not expected to end soon, in ms; two renewals of its
/// lease, each of which lists it.
const MAX_PAUSE_MS: u64 = 100;

/// What is known of a run in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    pub(crate) started: Uptime,
    /// Progress in percent, and when the endpoint reported it.
    pub(crate) percent: u32,
    pub(crate) listed: Uptime,
    /// Time of the start, or of the last rise of the progress.
    pub(crate) risen: Uptime,
    /// Expected run time, in ms.
    pub(crate) expected: u64,
    /// Slowdown of the endpoint, in percent.
    pub(crate) slowdown: u64,
}

impl Progress {
    /// Expected time until the run ends, in ms.
    pub(crate) fn time_left(&self, now: Uptime) -> u64 {
        let percent = u64::from(self.percent.min(100));
        let expected = self.started + self.expected.saturating_mul(self.slowdown) / 100;
        if percent >= MIN_PERCENT || percent > 0 && now >= expected {
            let taken = self.listed.since(self.started);
            (self.listed + taken * (100 - percent) / percent).since(now)
        } else if now < expected {
            expected.since(now)
        } else {
            // Nothing is known but that it has taken longer than expected.
            now.since(self.started)
        }
    }

    /// Whether the run goes on and is expected to end within `ms`.
    pub(crate) fn ends_within(&self, now: Uptime, ms: u64) -> bool {
        now.since(self.risen) < MAX_PAUSE_MS && self.time_left(now) <= ms
    }
}
