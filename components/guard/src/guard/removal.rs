//! Stops the runs that cannot end before their endpoint leaves.

use mesh::{End, Uptime};

use super::Guard;
use crate::{
    progress::Progress,
    removal::Notice,
    runs::{Phase, Run, RunSlot},
};

impl Guard {
    /// Handles a notice that the endpoint stays for another `remaining` ms; a later one replaces it.
    pub(super) fn on_removal_notice(&mut self, now: Uptime, remaining: u64) {
        let Some(endpoint) = &mut self.endpoint else { return };
        let notice = Notice::new(now, remaining);
        let earlier = endpoint.notice.replace(notice);
        if earlier.is_some_and(|it| !notice.differs(it)) {
            return;
        }
        let in_progress = self.started().count();
        let stopped = self.doomed(now, notice).len();
        let stays = in_progress - stopped;
        if earlier.is_none() {
            self.removal_stays += stays as u64;
        }
        if let Some(endpoint) = &self.endpoint {
            log::warn!(
                instance:% = endpoint.instance, remaining_ms = remaining, stays = stays,
                stopped = stopped, again = earlier.is_some();
                "the endpoint has announced its removal"
            );
        }
    }

    /// Stops the runs that cannot end before the endpoint leaves, by what is known of them now.
    pub(super) fn stop_before_removal(&mut self, now: Uptime) {
        let Some(endpoint) = &self.endpoint else { return };
        let Some(notice) = endpoint.notice.filter(|_| !endpoint.gone) else { return };
        for slot in self.doomed(now, notice) {
            if let Some(run) = self.runs.get(slot) {
                log::info!(
                    run:% = run.key, remaining_ms = notice.remaining(now),
                    percent = run.progress_percent, passed_ms = now.since(run.started),
                    expected_ms = run.work.expected;
                    "a run is stopped, as it cannot end before the endpoint leaves"
                );
            }
            self.removal_stopped += 1;
            self.stop_run(now, slot, End::Stopped);
        }
    }

    /// Runs in progress that are not being stopped.
    pub(super) fn started(&self) -> impl Iterator<Item = (RunSlot, &Run)> {
        self.runs.iter().filter(|(_, run)| matches!(run.phase, Phase::Starting | Phase::Running))
    }

    pub(super) fn progress(&self, run: &Run) -> Progress {
        Progress {
            started: run.started,
            percent: run.progress_percent,
            listed: run.listed,
            risen: run.last_progress,
            expected: run.work.expected.into(),
            slowdown: self.health_tracker.slowdown(),
        }
    }

    fn doomed(&self, now: Uptime, notice: Notice) -> Vec<RunSlot> {
        let doomed = self.started().filter(|(_, run)| !notice.stays(now, &self.progress(run)));
        doomed.map(|(slot, _)| slot).collect()
    }
}
