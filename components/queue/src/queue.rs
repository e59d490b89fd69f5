//! Queue with admission control.

use std::{collections::HashMap, hash::Hash, time::Duration};

use ident::Timestamp;
use wire::Load;

use crate::{
    Cause, Item, Rejection,
    fair::FairShares,
    forecast::Forecast,
    order::{self, Queued},
    short_load::{ShortLoad, is_long},
    slowdown::Slowdown,
};

/// Shortest time after which a caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Shortest time between two trials of requests that seem to take too long.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// Largest expected run time of a trial, as a multiple of the time to the deadline.
const MAX_TRIAL_RATIO: u32 = 8;

/// Slots of an endpoint and its running and waiting requests.
#[derive(Debug)]
pub struct Queue<K> {
    slots: u32,
    limit: usize,
    queued: Vec<Queued<K>>,
    running: HashMap<K, Running>,
    shares: FairShares,
    short_load: ShortLoad,
    starts: u32,
    slowdown: Slowdown,
    trial_at: Timestamp,
}

#[derive(Debug)]
struct Running {
    started_at: Timestamp,
    expected: Duration,
}

impl<K: Copy + Eq + Hash> Queue<K> {
    /// Creates a queue for `slots` slots that holds up to `limit` waiting requests.
    pub fn new(slots: u32, limit: usize) -> Queue<K> {
        Queue {
            slots,
            limit,
            queued: Vec::new(),
            running: HashMap::new(),
            shares: FairShares::default(),
            short_load: ShortLoad::default(),
            starts: 0,
            slowdown: Slowdown::new(),
            trial_at: Timestamp::ZERO,
        }
    }

    /// Changes the number of slots; running requests are not affected.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Queues a request; refuses one that would miss its deadline or if the queue is
    /// full.
    pub fn push(&mut self, item: Item<K>, now: Timestamp) -> Result<(), Rejection> {
        self.short_load.on_arrival(item.expected, now);
        let mut queued = Queued::new(item, now);
        match self.check_admission(&queued, now) {
            Err(_) if self.is_trial(&queued, now) => {
                queued.trial = true;
                self.trial_at = now;
            }
            checked => checked?,
        }
        self.queued.push(queued);
        Ok(())
    }

    /// Starts the next request and returns its key, if a slot is free.
    ///
    /// Requests that can no longer meet their deadline are skipped;
    /// [`Queue::take_late`] returns them.
    pub fn start_next(&mut self, now: Timestamp) -> Option<K> {
        if self.free() == 0 {
            return None;
        }
        let slowdown = &self.slowdown;
        let admits_long = self.long_running() < self.short_load.long_slot_limit(self.slots, now);
        let admits = |it: &Queued<K>| {
            !is_late(it, slowdown, now) && (admits_long || !is_long(it.item.expected))
        };
        let index = order::next_index(&self.queued, admits, &self.shares, self.starts, now)?;
        let item = self.queued.remove(index).item;
        self.starts = self.starts.wrapping_add(1);
        let waiting = self.queued.iter().map(|it| it.item.team);
        self.shares.on_start(item.team, item.expected, waiting);
        self.running.insert(item.key, Running { started_at: now, expected: item.expected });
        Some(item.key)
    }

    /// Removes the requests that can no longer meet their deadline.
    pub fn take_late(&mut self, now: Timestamp) -> Vec<K> {
        let slowdown = &self.slowdown;
        let late = self.queued.extract_if(.., |it| is_late(it, slowdown, now));
        late.map(|it| it.item.key).collect()
    }

    /// Removes a waiting request; false if there is none with this key.
    pub fn remove(&mut self, key: K) -> bool {
        let found = self.queued.iter().position(|it| it.item.key == key);
        found.map(|index| self.queued.remove(index)).is_some()
    }

    /// Frees the slot of a running request.
    pub fn finish(&mut self, key: K, now: Timestamp) {
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        self.slowdown.record(running.expected, now.since(running.started_at), now);
    }

    /// Predicted wait of a request of the given rank that arrives now and is due
    /// after all others.
    pub fn predicted_wait(&self, rank: u8, now: Timestamp) -> Duration {
        self.wait_at(rank, Timestamp::MAX, now)
    }

    /// Current load, for reports and replies.
    pub fn load(&self, now: Timestamp) -> Load {
        let running: Duration = self.running.values().map(|it| self.remaining(it, now)).sum();
        let queued: Duration = self.queued.iter().map(|it| it.item.expected).sum();
        Load {
            busy: self.busy(),
            slots: self.slots,
            queued: self.queued.len() as u32,
            backlog: running + self.slowdown.apply(queued, now),
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

    /// Free slots.
    pub fn free(&self) -> u32 {
        self.slots.saturating_sub(self.busy())
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    fn check_admission(&self, queued: &Queued<K>, now: Timestamp) -> Result<(), Rejection> {
        let wait = self.wait_of(queued, now);
        let run_time = self.slowdown.apply(queued.item.expected, now);
        let time_left = queued.item.deadline.since(now);
        if wait + run_time > time_left {
            let excess = (wait + run_time).saturating_sub(time_left);
            let retry_after = (run_time <= time_left).then(|| excess.max(MIN_RETRY_AFTER));
            return Err(Rejection { cause: Cause::Late, wait, retry_after });
        }
        if self.queued.len() >= self.limit {
            let retry_after = Some((wait / 2).max(MIN_RETRY_AFTER));
            return Err(Rejection { cause: Cause::Full, wait, retry_after });
        }
        Ok(())
    }

    fn wait_of(&self, queued: &Queued<K>, now: Timestamp) -> Duration {
        let wait = self.wait_at(queued.item.rank, queued.due, now);
        match is_long(queued.item.expected) {
            true => wait.max(self.wait_of_long(queued, now)),
            false => wait,
        }
    }

    /// Predicted wait for any slot of a request with the given rank and due time.
    fn wait_at(&self, rank: u8, due: Timestamp, now: Timestamp) -> Duration {
        if self.free() as usize > self.queued.len() {
            return Duration::ZERO;
        }
        let running = self.running.values().map(|it| self.remaining(it, now));
        let mut forecast = Forecast::new(self.slots, running);
        for it in self.queued.iter().filter(|it| it.precedes(rank, due)) {
            forecast.assign(self.slowdown.apply(it.item.expected, now));
        }
        forecast.wait()
    }

    /// Predicted wait for one of the slots that long requests may hold.
    fn wait_of_long(&self, queued: &Queued<K>, now: Timestamp) -> Duration {
        let running = self.running.values().filter(|it| is_long(it.expected));
        let slots = self.short_load.long_slot_limit(self.slots, now);
        let mut forecast = Forecast::new(slots, running.map(|it| self.remaining(it, now)));
        let ahead = self.queued.iter().filter(|it| it.precedes(queued.item.rank, queued.due));
        for it in ahead.filter(|it| is_long(it.item.expected)) {
            forecast.assign(self.slowdown.apply(it.item.expected, now));
        }
        forecast.wait()
    }

    fn long_running(&self) -> u32 {
        self.running.values().filter(|it| is_long(it.expected)).count() as u32
    }

    fn remaining(&self, running: &Running, now: Timestamp) -> Duration {
        let elapsed = now.since(running.started_at);
        let expected = self.slowdown.apply(running.expected, now);
        expected.saturating_sub(elapsed).max(elapsed / 4)
    }

    /// Whether to admit a request although it seems to miss its deadline: the expected
    /// run time may be wrong, and is not corrected as long as no request runs.
    fn is_trial(&self, queued: &Queued<K>, now: Timestamp) -> bool {
        let time_left = queued.item.deadline.since(now);
        let run_time = self.slowdown.apply(queued.item.expected, now);
        self.free() > 0
            && self.queued.is_empty()
            && run_time <= time_left * MAX_TRIAL_RATIO
            && now.since(self.trial_at) >= TRIAL_INTERVAL
    }
}

fn is_late<K>(queued: &Queued<K>, slowdown: &Slowdown, now: Timestamp) -> bool {
    let run_time = match queued.trial {
        true => Duration::ZERO,
        false => slowdown.apply(queued.item.expected, now),
    };
    now + run_time > queued.item.deadline
}
