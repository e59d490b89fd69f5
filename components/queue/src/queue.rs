//! The queue itself.

use std::{collections::HashMap, hash::Hash, time::Duration};

use ident::Timestamp;
use wire::Load;

use crate::{
    Cause, Item, Rejection,
    fair::Shares,
    forecast::Forecast,
    order::{self, Queued},
};

/// Shortest time to come back that a caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Weight of the newest sample in the pace of the endpoint.
const PACE_WEIGHT: f64 = 0.05;
/// Least and greatest ratio of actual to expected run time that counts.
const PACE_RANGE: (f64, f64) = (0.1, 10.0);

/// Slots of an endpoint with the requests that run or wait.
#[derive(Debug)]
pub struct Queue<K> {
    slots: u32,
    limit: usize,
    queued: Vec<Queued<K>>,
    running: HashMap<K, Running>,
    shares: Shares,
    starts: u32,
    pace: f64,
}

#[derive(Debug)]
struct Running {
    since: Timestamp,
    expected: Duration,
}

impl<K: Copy + Eq + Hash> Queue<K> {
    /// Has `slots` slots and room for `limit` waiting requests.
    pub fn new(slots: u32, limit: usize) -> Queue<K> {
        Queue {
            slots,
            limit,
            queued: Vec::new(),
            running: HashMap::new(),
            shares: Shares::default(),
            starts: 0,
            pace: 1.0,
        }
    }

    /// Changes the number of slots; what runs goes on.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Queues a request, unless it could not be answered in time.
    pub fn push(&mut self, item: Item<K>, now: Timestamp) -> Result<(), Rejection> {
        let wait = self.wait_of(item.rank, item.deadline, now);
        let run_time = self.at_pace(item.expected);
        let left = item.deadline.since(now);
        if wait + run_time > left {
            let retry_after =
                (run_time <= left).then(|| (wait + run_time - left).max(MIN_RETRY_AFTER));
            return Err(Rejection { cause: Cause::Late, wait, retry_after });
        }
        if self.queued.len() >= self.limit {
            let retry_after = Some((wait / 2).max(MIN_RETRY_AFTER));
            return Err(Rejection { cause: Cause::Full, wait, retry_after });
        }
        self.queued.push(Queued { item, since: now });
        Ok(())
    }

    /// Takes the request that is next into a slot, if one is free.
    ///
    /// Requests that can no longer be answered in time are passed over; they
    /// come out of [`Queue::take_late`].
    pub fn start_next(&mut self, now: Timestamp) -> Option<K> {
        if self.free() == 0 {
            return None;
        }
        let pace = self.pace;
        let in_time = |it: &Queued<K>| !is_late(it, pace, now);
        let index = order::next(&self.queued, in_time, &self.shares, self.starts, now)?;
        let item = self.queued.swap_remove(index).item;
        self.starts = self.starts.wrapping_add(1);
        let waiting = self.queued.iter().map(|it| it.item.team);
        self.shares.on_start(item.team, item.expected, waiting);
        self.running.insert(item.key, Running { since: now, expected: item.expected });
        Some(item.key)
    }

    /// Takes out the requests that can no longer be answered in time.
    pub fn take_late(&mut self, now: Timestamp) -> Vec<K> {
        let pace = self.pace;
        let late = self.queued.extract_if(.., |it| is_late(it, pace, now));
        late.map(|it| it.item.key).collect()
    }

    /// Takes out a request that waits; false if it does not wait here.
    pub fn remove(&mut self, key: K) -> bool {
        let found = self.queued.iter().position(|it| it.item.key == key);
        found.map(|index| self.queued.swap_remove(index)).is_some()
    }

    /// Frees the slot of a request that ran.
    pub fn finish(&mut self, key: K, now: Timestamp) {
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        let expected = running.expected.as_secs_f64();
        if expected > 0.0 {
            let (least, greatest) = PACE_RANGE;
            let ratio = now.since(running.since).as_secs_f64() / expected;
            self.pace += PACE_WEIGHT * (ratio.clamp(least, greatest) - self.pace);
        }
    }

    /// Wait that a request of the rank would have if it came now.
    pub fn predicted_wait(&self, rank: u8, now: Timestamp) -> Duration {
        self.wait_of(rank, Timestamp::MAX, now)
    }

    /// Load for reports and replies.
    pub fn load(&self, now: Timestamp) -> Load {
        let running: Duration = self.running.values().map(|it| self.remaining(it, now)).sum();
        let queued: Duration = self.queued.iter().map(|it| it.item.expected).sum();
        Load {
            busy: self.busy(),
            slots: self.slots,
            queued: self.queued.len() as u32,
            work: running + self.at_pace(queued),
        }
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queued.is_empty()
    }

    /// Slots in use.
    pub fn busy(&self) -> u32 {
        self.running.len() as u32
    }

    /// Slots that are free.
    pub fn free(&self) -> u32 {
        self.slots.saturating_sub(self.busy())
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    fn wait_of(&self, rank: u8, deadline: Timestamp, now: Timestamp) -> Duration {
        if self.free() as usize > self.queued.len() {
            return Duration::ZERO;
        }
        let running = self.running.values().map(|it| self.remaining(it, now));
        let mut forecast = Forecast::new(self.slots, running);
        for it in &self.queued {
            if (it.item.rank, it.item.deadline) <= (rank, deadline) {
                forecast.assign(self.at_pace(it.item.expected));
            }
        }
        forecast.wait()
    }

    fn remaining(&self, running: &Running, now: Timestamp) -> Duration {
        let elapsed = now.since(running.since);
        let expected = self.at_pace(running.expected);
        expected.saturating_sub(elapsed).max(elapsed / 4)
    }

    fn at_pace(&self, expected: Duration) -> Duration {
        expected.mul_f64(self.pace)
    }
}

fn is_late<K>(queued: &Queued<K>, pace: f64, now: Timestamp) -> bool {
    now + queued.item.expected.mul_f64(pace) > queued.item.deadline
}
