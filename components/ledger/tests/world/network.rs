//! Simulated network.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ident::{Incarnation, NodeId, RequestId, Shard, Timestamp};
use rand::{RngExt, rngs::SmallRng};
use register::{Assignment, Table};
use wire::Promise;

/// Message in transit to a node or to the log, or a timer of a process.
#[derive(Debug, Clone)]
pub enum Message {
    PromiseRequest {
        owner: NodeId,
        incarnation: Incarnation,
        next_offset: u64,
    },
    Promise(Promise),
    HandOver {
        from: NodeId,
        ledger: Vec<u8>,
    },
    State {
        table: Arc<Table>,
        next_offset: u64,
        read_at: Timestamp,
    },
    Append {
        shards: Vec<(Shard, Assignment)>,
    },
    Run {
        id: RequestId,
        attempt: u64,
        submitted: Timestamp,
    },
    Cancel {
        id: RequestId,
    },
    /// The endpoint starts an attempt that the node has admitted, or the node refuses it.
    Begin {
        id: RequestId,
        attempt: u64,
        incarnation: Incarnation,
    },
    /// The endpoint has finished the id.
    End {
        id: RequestId,
        incarnation: Incarnation,
    },
    /// The drain time of a stopping node has passed.
    Exit {
        incarnation: Incarnation,
    },
}

/// Messages in transit, in the order of arrival.
pub struct Network {
    /// Percentage of messages that may be lost or duplicated, and percentage of copies that
    /// are delayed for longer.
    pub noise: u32,
    /// Host and message by arrival time and number.
    queue: BTreeMap<(Timestamp, u64), (usize, Message)>,
    /// Number of copies sent; orders those that arrive at the same time.
    sent: u64,
}

impl Network {
    pub fn new() -> Network {
        Network { noise: 0, queue: BTreeMap::new(), sent: 0 }
    }

    /// Sends a message, which may be lost, duplicated or late.
    pub fn send(&mut self, to: usize, message: Message, now: Timestamp, rng: &mut SmallRng) {
        let copies = match rng.random_range(0..100) < self.noise {
            false => 1,
            true => rng.random_range(0..=2),
        };
        for _ in 0..copies {
            let delay = self.delay(rng);
            self.send_after(to, message.clone(), now, delay);
        }
    }

    /// Sends a message that arrives exactly once, after the given delay.
    pub fn send_after(&mut self, to: usize, message: Message, now: Timestamp, delay: Duration) {
        self.sent += 1;
        self.queue.insert((now + delay, self.sent), (to, message));
    }

    /// Arrival time of the next message.
    pub fn next_time(&self) -> Option<Timestamp> {
        self.queue.keys().next().map(|(at, _)| *at)
    }

    /// Removes and returns the next message that has arrived by `now`.
    pub fn pop(&mut self, now: Timestamp) -> Option<(usize, Message)> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }

    fn delay(&self, rng: &mut SmallRng) -> Duration {
        let usual = Duration::from_micros(rng.random_range(300..3000));
        match rng.random_range(0..100) < self.noise {
            false => usual,
            true => Duration::from_millis(1 << rng.random_range(0..15)),
        }
    }
}
