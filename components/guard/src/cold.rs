//! Share of its room that an endpoint provides while it is cold.

use mesh::Uptime;

use crate::runs::Resources;

/// Longest time for which an endpoint is taken for cold, in ms.
const MAX_COLD_MS: u64 = 600_000;

/// Time for which an endpoint is slow after its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Cold {
    /// Time at which it was first known to be cold.
    since: Uptime,
    until: Uptime,
}

impl Cold {
    /// The state after a heartbeat with `remaining`; none once the endpoint is warm.
    pub(crate) fn update(cold: Option<Cold>, now: Uptime, remaining: Option<u64>) -> Option<Cold> {
        match remaining {
            Some(0) => None,
            Some(remaining) => {
                let until = now + remaining.min(MAX_COLD_MS);
                Some(Cold { since: cold.map_or(now, |it| it.since), until })
            }
            None => cold.filter(|it| it.lasts(now)),
        }
    }

    pub(crate) fn lasts(self, now: Uptime) -> bool {
        now < self.until
    }

    /// The part of `whole` that the endpoint may use, which rises in proportion to the time.
    pub(crate) fn share(self, now: Uptime, whole: Resources) -> Resources {
        let total = self.until.since(self.since).max(1);
        let passed = now.since(self.since).min(total);
        let part = |it: u32| u32::try_from(u64::from(it) * passed / total).unwrap_or(it);
        Resources { cpu: part(whole.cpu), memory: part(whole.memory), gpus: part(whole.gpus) }
    }
}
