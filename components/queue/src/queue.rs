//! The queue itself.

use std::{collections::HashMap, hash::Hash, time::Duration};

use ident::Timestamp;
use wire::Load;

use crate::{
    Cause, Item, Rejection,
    fair::Shares,
    forecast::Forecast,
    mix::{Mix, is_long},
    order::{self, Queued},
    pace::Pace,
};

/// Shortest time to come back that a caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time between two trials of requests that seem to take too long.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// Factor by which an expected run time may be too high for a trial.
const MAX_DOUBT: u32 = 8;

/// Slots of an endpoint with the requests that run or wait.
#[derive(Debug)]
pub struct Queue<K> {
    slots: u32,
    limit: usize,
    queued: Vec<Queued<K>>,
    running: HashMap<K, Running>,
    shares: Shares,
    mix: Mix,
    starts: u32,
    pace: Pace,
    trial_at: Timestamp,
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
            mix: Mix::default(),
            starts: 0,
            pace: Pace::new(),
            trial_at: Timestamp::ZERO,
        }
    }

    /// Changes the number of slots; what runs goes on.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Queues a request, unless it could not be answered in time.
    pub fn push(&mut self, item: Item<K>, now: Timestamp) -> Result<(), Rejection> {
        self.mix.on_arrival(item.expected, now);
        let mut queued = Queued::new(item, now);
        match self.check(&queued, now) {
            Err(_) if self.is_trial(&queued, now) => {
                queued.trial = true;
                self.trial_at = now;
            }
            checked => checked?,
        }
        self.queued.push(queued);
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
        let pace = &self.pace;
        let may_be_long = self.running_long() < self.mix.long_slots(self.slots, now);
        let admits =
            |it: &Queued<K>| !is_late(it, pace, now) && (may_be_long || !is_long(it.item.expected));
        let index = order::next(&self.queued, admits, &self.shares, self.starts, now)?;
        let item = self.queued.remove(index).item;
        self.starts = self.starts.wrapping_add(1);
        let waiting = self.queued.iter().map(|it| it.item.team);
        self.shares.on_start(item.team, item.expected, waiting);
        self.running.insert(item.key, Running { since: now, expected: item.expected });
        Some(item.key)
    }

    /// Takes out the requests that can no longer be answered in time.
    pub fn take_late(&mut self, now: Timestamp) -> Vec<K> {
        let pace = &self.pace;
        let late = self.queued.extract_if(.., |it| is_late(it, pace, now));
        late.map(|it| it.item.key).collect()
    }

    /// Takes out a request that waits; false if it does not wait here.
    pub fn remove(&mut self, key: K) -> bool {
        let found = self.queued.iter().position(|it| it.item.key == key);
        found.map(|index| self.queued.remove(index)).is_some()
    }

    /// Frees the slot of a request that ran.
    pub fn finish(&mut self, key: K, now: Timestamp) {
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        self.pace.learn(running.expected, now.since(running.since), now);
    }

    /// Wait of a request of the rank that comes now and is due after all others.
    pub fn predicted_wait(&self, rank: u8, now: Timestamp) -> Duration {
        self.wait_before(rank, Timestamp::MAX, now)
    }

    /// Load for reports and replies.
    pub fn load(&self, now: Timestamp) -> Load {
        let running: Duration = self.running.values().map(|it| self.remaining(it, now)).sum();
        let queued: Duration = self.queued.iter().map(|it| it.item.expected).sum();
        Load {
            busy: self.busy(),
            slots: self.slots,
            queued: self.queued.len() as u32,
            backlog: running + self.pace.apply(queued, now),
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

    fn check(&self, queued: &Queued<K>, now: Timestamp) -> Result<(), Rejection> {
        let wait = self.wait_of(queued, now);
        let run_time = self.pace.apply(queued.item.expected, now);
        let left = queued.item.deadline.since(now);
        if wait + run_time > left {
            let excess = (wait + run_time).saturating_sub(left);
            let retry_after = (run_time <= left).then(|| excess.max(MIN_RETRY_AFTER));
            return Err(Rejection { cause: Cause::Late, wait, retry_after });
        }
        if self.queued.len() >= self.limit {
            let retry_after = Some((wait / 2).max(MIN_RETRY_AFTER));
            return Err(Rejection { cause: Cause::Full, wait, retry_after });
        }
        Ok(())
    }

    fn wait_of(&self, queued: &Queued<K>, now: Timestamp) -> Duration {
        let wait = self.wait_before(queued.item.rank, queued.due, now);
        match is_long(queued.item.expected) {
            true => wait.max(self.wait_of_long(queued, now)),
            false => wait,
        }
    }

    /// Wait for any slot.
    fn wait_before(&self, rank: u8, due: Timestamp, now: Timestamp) -> Duration {
        if self.free() as usize > self.queued.len() {
            return Duration::ZERO;
        }
        let running = self.running.values().map(|it| self.remaining(it, now));
        let mut forecast = Forecast::new(self.slots, running);
        for it in self.queued.iter().filter(|it| it.precedes(rank, due)) {
            forecast.assign(self.pace.apply(it.item.expected, now));
        }
        forecast.wait()
    }

    /// Wait for one of the slots that long requests may hold.
    fn wait_of_long(&self, queued: &Queued<K>, now: Timestamp) -> Duration {
        let running = self.running.values().filter(|it| is_long(it.expected));
        let slots = self.mix.long_slots(self.slots, now);
        let mut forecast = Forecast::new(slots, running.map(|it| self.remaining(it, now)));
        let ahead = self.queued.iter().filter(|it| it.precedes(queued.item.rank, queued.due));
        for it in ahead.filter(|it| is_long(it.item.expected)) {
            forecast.assign(self.pace.apply(it.item.expected, now));
        }
        forecast.wait()
    }

    fn running_long(&self) -> u32 {
        self.running.values().filter(|it| is_long(it.expected)).count() as u32
    }

    fn remaining(&self, running: &Running, now: Timestamp) -> Duration {
        let elapsed = now.since(running.since);
        let expected = self.pace.apply(running.expected, now);
        expected.saturating_sub(elapsed).max(elapsed / 4)
    }

    /// Whether to let a request through although its expected run time alone
    /// passes the deadline: the expectation may be wrong, and stays so if nothing
    /// runs.
    fn is_trial(&self, queued: &Queued<K>, now: Timestamp) -> bool {
        let left = queued.item.deadline.since(now);
        let run_time = self.pace.apply(queued.item.expected, now);
        self.free() > 0
            && self.queued.is_empty()
            && run_time <= left * MAX_DOUBT
            && now.since(self.trial_at) >= TRIAL_INTERVAL
    }
}

fn is_late<K>(queued: &Queued<K>, pace: &Pace, now: Timestamp) -> bool {
    let run_time = match queued.trial {
        true => Duration::ZERO,
        false => pace.apply(queued.item.expected, now),
    };
    now + run_time > queued.item.deadline
}
