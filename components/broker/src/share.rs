//! Shares room out among queues when there is not enough of it.
//!
//! A burst of one kind of job fills the endpoints for all kinds. Jobs of queues that have used
//! less than the others lately may wait longer before they are refused, and those of queues
//! that have used more are refused sooner, so that a flooded queue bears the refusals itself.
//! All jobs of a queue may wait for as long as its usual job, so that short ones are not
//! refused before long ones.
//!
//! A backlog that goes away soon is worth waiting for. One that stays makes every job wait as
//! long as the longest that is taken, and many of them late. So the more of the newest jobs
//! have found no room, the shorter is the wait for which a job is taken.

use std::collections::HashMap;

use mesh::Uptime;

use crate::policy::Policy;

/// Time in which what a queue has used counts half, in ms; shorter than a burst.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Part of the most used queue below which a queue does not count as in use.
const IDLE: f64 = 0.05;
/// Bounds of a queue's share against an even one, so that none is shut out or taken whole.
const BOUNDS: (f64, f64) = (0.4, 1.5);
/// Power of the share by which the wait is multiplied; with three, a queue with twice its even
/// share waits an eighth.
const POWER: i32 = 3;
/// Weight of the newest job in the part of jobs that found no room.
const CROWDING_WEIGHT: f64 = 0.05;
/// Weight of the newest job in the usual time until the latest start.
const WEIGHT: f64 = 0.02;

/// What the queues have used lately, by their names.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    queues: HashMap<String, Usage>,
    last: Uptime,
    /// Part of the newest jobs that had to wait.
    crowding: f64,
}

#[derive(Debug)]
struct Usage {
    /// Work of taken jobs, in thousandths of a core times ms, as of the last one.
    used: f64,
    /// Usual time until the latest start of a job, in ms.
    slack: f64,
}

impl Shares {
    /// Counts a job that has arrived, with the time until its latest start in ms.
    pub(crate) fn note_arrival(&mut self, queue: &str, slack: u64) {
        let slack = slack as f64;
        match self.queues.get_mut(queue) {
            Some(usage) => usage.slack += WEIGHT * (slack - usage.slack),
            None => {
                self.queues.insert(queue.to_owned(), Usage { used: 0.0, slack });
            }
        }
    }

    /// Counts whether a job that has arrived found no room.
    pub(crate) fn note_wait(&mut self, waits: bool) {
        self.crowding += CROWDING_WEIGHT * (f64::from(u8::from(waits)) - self.crowding);
    }

    /// Counts the work of a job that is not refused.
    pub(crate) fn note_taken(&mut self, now: Uptime, queue: &str, work: u64) {
        let decay = 0.5_f64.powf(now.since(self.last) as f64 / HALF_LIFE_MS);
        self.last = now;
        for usage in self.queues.values_mut() {
            usage.used *= decay;
        }
        if let Some(usage) = self.queues.get_mut(queue) {
            usage.used += work as f64;
        }
    }

    /// Longest wait for which a job of a queue is taken, in ms.
    pub(crate) fn longest_wait(&self, queue: &str, policy: &Policy) -> u64 {
        let Some(usage) = self.queues.get(queue) else { return 0 };
        let (roomy, crowded) = (policy.roomy_wait as f64, policy.crowded_wait as f64);
        let percent = roomy + (crowded - roomy) * self.crowding;
        let factor = self.factor(usage).powi(POWER);
        (usage.slack * factor * percent / 100.0) as u64
    }

    /// An even share against what a queue has used; over one for a queue below its share.
    fn factor(&self, usage: &Usage) -> f64 {
        let (least, greatest) = BOUNDS;
        let used = self.queues.values().map(|it| it.used);
        let most = used.clone().fold(0.0, f64::max);
        let in_use: Vec<f64> = used.filter(|it| *it > most * IDLE).collect();
        let even = in_use.iter().sum::<f64>() / in_use.len().max(1) as f64;
        if usage.used <= 0.0 { greatest } else { (even / usage.used).clamp(least, greatest) }
    }
}
