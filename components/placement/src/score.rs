//! How well a worker suits the tasks of a job.

use std::cmp::Reverse;

use crate::Resources;

/// Unit of shares.
const WHOLE: u64 = 1 << 16;

/// How well a worker suits the tasks that are left; the greatest is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Score {
    /// Holds some of them: the more, the fewer workers are needed.
    Some { share: u64, same_rack: bool },
    /// Holds all of them: the tighter, the more room is kept elsewhere.
    All { share: Reverse<u64>, same_rack: bool },
}

impl Score {
    /// Compares the room of a worker, of which the job may take `part`, with the
    /// size of all tasks that are left.
    pub(crate) fn new(
        room: Resources,
        part: Resources,
        total: Resources,
        same_rack: bool,
    ) -> Score {
        let share = share(room, total);
        match total.fits(part) {
            true => Score::All { share: Reverse(share), same_rack },
            false => Score::Some { share, same_rack },
        }
    }
}

/// How often `total` goes into `room`, in units of `WHOLE`.
fn share(room: Resources, total: Resources) -> u64 {
    ratio(room.cores, total.cores)
        .min(ratio(room.memory_mb, total.memory_mb))
        .min(ratio(room.accelerators, total.accelerators))
}

fn ratio(room: u32, total: u32) -> u64 {
    match total {
        0 => u64::MAX,
        _ => u64::from(room) * WHOLE / u64::from(total),
    }
}
