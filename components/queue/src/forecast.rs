//! Prediction of waits.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Times at which the slots become free, from now on.
#[derive(Debug)]
pub(crate) struct Forecast {
    slots: BinaryHeap<Reverse<Duration>>,
}

impl Forecast {
    /// Slots that run requests with the given remaining times, and idle ones.
    pub(crate) fn new(slots: u32, running: impl Iterator<Item = Duration>) -> Forecast {
        let mut free: BinaryHeap<Reverse<Duration>> = running.map(Reverse).collect();
        while free.len() < slots.max(1) as usize {
            free.push(Reverse(Duration::ZERO));
        }
        while free.len() > slots.max(1) as usize {
            free.pop();
        }
        Forecast { slots: free }
    }

    /// Gives the slot that is free first to a request.
    pub(crate) fn assign(&mut self, run_time: Duration) {
        if let Some(mut slot) = self.slots.peek_mut() {
            slot.0 += run_time;
        }
    }

    /// Time until the first slot is free.
    pub(crate) fn wait(&self) -> Duration {
        self.slots.peek().map_or(Duration::ZERO, |slot| slot.0)
    }
}
