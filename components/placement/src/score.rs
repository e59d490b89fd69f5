//! Score of a worker for the tasks of a job.

use std::cmp::Reverse;

use crate::Resources;

/// Fixed-point unit of shares.
const SHARE_UNIT: u64 = 1 << 16;

/// Score of a worker for the tasks that are not placed yet; the greatest is chosen.
///
/// Variants and fields are compared in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Score {
    /// Has room for some of them; the more, the fewer workers are needed.
    Partial { share: u64, same_rack: bool },
    /// Has room for all of them; the tighter the fit, the more room remains elsewhere.
    Complete { share: Reverse<u64>, same_rack: bool },
}

impl Score {
    /// Compares the room of a worker, of which the job may take `limit`, with the
    /// total size of the tasks.
    pub(crate) fn new(
        room: Resources,
        limit: Resources,
        total: Resources,
        same_rack: bool,
    ) -> Score {
        let share = share(room, total);
        match total.fits(limit) {
            true => Score::Complete { share: Reverse(share), same_rack },
            false => Score::Partial { share, same_rack },
        }
    }
}

/// How many times `total` fits into `room`, in units of `SHARE_UNIT`.
fn share(room: Resources, total: Resources) -> u64 {
    ratio(room.cores, total.cores)
        .min(ratio(room.memory_mb, total.memory_mb))
        .min(ratio(room.accelerators, total.accelerators))
}

fn ratio(room: u32, total: u32) -> u64 {
    match total {
        0 => u64::MAX,
        _ => u64::from(room) * SHARE_UNIT / u64::from(total),
    }
}
