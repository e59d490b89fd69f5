//! Room that reports show.
//!
//! Between the end of a run and the start of the next one lie a report to an entry and its order.
//! The room is unused meanwhile, which at full load costs a few percent of the capacity. Entries
//! whose jobs wait are therefore shown the room of runs that are about to end as if it were free.
//! What they order is queued here and starts with the end of such a run. If none ends in time, it
//! is refused after the wait that its entry allows.

use mesh::{Report, Uptime};

use super::Guard;
use crate::runs::Resources;

/// Time until the end of a run from which its room is shown, in ms; covers a report, the order that
/// it causes, and a tick.
const LOOKAHEAD_MS: u64 = 10;

impl Guard {
    /// Report to entries without waiting jobs.
    pub(super) fn report(&self, now: Uptime) -> Report {
        let info = self.endpoint.as_ref().map(|it| it.info.clone());
        let Resources { cpu, memory, gpus } = self.unordered_room(now, Resources::default());
        Report {
            now,
            endpoint: info,
            health: self.health(now),
            cpu,
            memory,
            gpus,
            slowness: u32::try_from(self.health_tracker.slowdown()).unwrap_or(u32::MAX),
            waiting: 0,
        }
    }

    /// Room that is free or about to be free and not ordered; none while no entry needs it.
    pub(super) fn upcoming_room(&self, now: Uptime) -> Resources {
        if self.entries.values().all(|it| it.waiting == 0) {
            return Resources::default();
        }
        let ending = self.started().filter(|(_, run)| {
            let progress = self.progress(run);
            progress.ends_within(now, LOOKAHEAD_MS)
        });
        let freed = ending.fold(Resources::default(), |sum, (_, run)| sum.plus(run.work.needs()));
        self.unordered_room(now, freed)
    }

    /// Room that is free once `freed` is, less that of queued runs.
    fn unordered_room(&self, now: Uptime, freed: Resources) -> Resources {
        let is_idle = !self.runs.has_active();
        let Some(endpoint) = &self.endpoint else { return Resources::default() };
        let free = endpoint.room(now, is_idle).minus(self.runs.allocated().minus(freed));
        let queued = self.runs.queued().filter_map(|slot| self.runs.get(slot));
        queued.fold(free, |free, run| free.minus(run.work.needs()))
    }
}
