//! Passes over the workers, from the preferred ones to the last resort.

use ident::Timestamp;

use crate::{
    Resources,
    worker::{Tier, Worker},
};

/// One pass over the workers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pass {
    pub(crate) tier: Tier,
    view: View,
}

/// How the room of workers is estimated.
#[derive(Debug, Clone, Copy)]
pub(crate) enum View {
    /// Reported load decays to the average. All coordinators have the same reports,
    /// and would otherwise all choose the workers that looked empty.
    Expected,
    /// Reported load does not decay, to find room for tasks larger than the average
    /// room.
    Reported,
}

/// Passes in the order in which they are made, until all tasks are placed.
pub(crate) const PASSES: [Pass; 4] = [
    Pass { tier: Tier::Preferred, view: View::Expected },
    Pass { tier: Tier::Preferred, view: View::Reported },
    Pass { tier: Tier::LastResort, view: View::Reported },
    Pass { tier: Tier::Ejected, view: View::Reported },
];

impl Pass {
    /// Room of the worker, as this pass estimates it.
    pub(crate) fn room(self, worker: &Worker, average: u32, now: Timestamp) -> Resources {
        match self.view {
            View::Expected => worker.expected_room(average, now),
            View::Reported => worker.reported_room(now),
        }
    }
}
