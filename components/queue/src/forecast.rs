//! Prediction of waiting times.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Times from now at which each slot becomes free.
#[derive(Debug)]
pub(crate) struct Forecast {
    slots: BinaryHeap<Reverse<Duration>>,
}

impl Forecast {
    /// Builds a forecast from the remaining times of the running requests; the other
    /// slots are free. If more requests run than there are slots, the first to end
    /// do not free one.
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

    /// Assigns a request to the slot that becomes free first.
    pub(crate) fn assign(&mut self, run_time: Duration) {
        if let Some(mut slot) = self.slots.peek_mut() {
            slot.0 += run_time;
        }
    }

    /// Time until the first slot becomes free.
    pub(crate) fn wait(&self) -> Duration {
        self.slots.peek().map_or(Duration::ZERO, |slot| slot.0)
    }
}
