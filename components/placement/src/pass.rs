//! Rounds over the workers, from the best ones to the last resort.

use ident::Timestamp;

use crate::{
    Resources,
    worker::{Tier, Worker},
};

/// One round over the workers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pass {
    pub(crate) tier: Tier,
    view: View,
}

/// How the room of workers is estimated.
#[derive(Debug, Clone, Copy)]
pub(crate) enum View {
    /// Reports fade to the average, since all coordinators have the same reports
    /// and would rush to the workers that looked empty.
    Expected,
    /// Reports are believed, to find room for tasks larger than the average room.
    Reported,
}

/// Rounds over the workers, until all tasks are placed.
pub(crate) const PASSES: [Pass; 4] = [
    Pass { tier: Tier::Preferred, view: View::Expected },
    Pass { tier: Tier::Preferred, view: View::Reported },
    Pass { tier: Tier::LastResort, view: View::Reported },
    Pass { tier: Tier::Ejected, view: View::Reported },
];

impl Pass {
    /// Room of the worker, as this pass sees it.
    pub(crate) fn room(self, worker: &Worker, average: u32, now: Timestamp) -> Resources {
        match self.view {
            View::Expected => worker.expected_room(average, now),
            View::Reported => worker.reported_room(now),
        }
    }
}
