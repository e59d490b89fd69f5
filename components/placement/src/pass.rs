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
    estimate: RoomEstimate,
}

/// How the room of workers is estimated.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RoomEstimate {
    /// Reported load decays to the average. All coordinators have the same reports,
    /// and would otherwise all choose the workers that looked empty.
    Expected,
    /// Reported load does not decay, to find room for tasks larger than the average
    /// room.
    Reported,
}

/// Passes in the order in which they are made, until all tasks are placed.
pub(crate) const PASSES: [Pass; 4] = [
    Pass { tier: Tier::Preferred, estimate: RoomEstimate::Expected },
    Pass { tier: Tier::Preferred, estimate: RoomEstimate::Reported },
    Pass { tier: Tier::LastResort, estimate: RoomEstimate::Reported },
    Pass { tier: Tier::Ejected, estimate: RoomEstimate::Reported },
];

impl Pass {
    /// Room of the worker, as this pass estimates it.
    pub(crate) fn room(self, worker: &Worker, average: u32, now: Timestamp) -> Resources {
        match self.estimate {
            RoomEstimate::Expected => worker.expected_room(average, now),
            RoomEstimate::Reported => worker.reported_room(now),
        }
    }
}
