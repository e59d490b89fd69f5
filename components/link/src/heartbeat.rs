//! Detection of connections that have gone silent.
//!
//! Silence is counted in ticks, not read from a clock: after a pause of the
//! whole process only one tick has passed, so that what arrived meanwhile is
//! read before the connection is judged.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::{Interval, MissedTickBehavior, interval};

/// Time between two looks at a connection.
pub(crate) const TICK: Duration = Duration::from_millis(100);

/// Silent ticks after which the peer is pinged, and again after as many more.
const PING_TICKS: u32 = 3;

/// Note that something has arrived, shared with the reading task.
#[derive(Clone, Default)]
pub(crate) struct Pulse(Arc<AtomicBool>);

/// Counts how long a connection has been silent.
pub(crate) struct Heartbeat {
    pulse: Pulse,
    silent_ticks: u32,
    limit_ticks: u32,
}

/// What is due at a tick.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// Nothing.
    Nothing,
    /// Ping the peer.
    Ping,
    /// Close the connection.
    Close,
}

impl Pulse {
    /// Notes that something has arrived.
    pub(crate) fn beat(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Heartbeat {
    /// Starts with a connection that has just been heard.
    pub(crate) fn new(pulse: Pulse, limit: Duration) -> Heartbeat {
        let limit_ticks = limit.as_millis().div_ceil(TICK.as_millis()) as u32;
        Heartbeat { pulse, silent_ticks: 0, limit_ticks }
    }

    /// Says what is due after one more tick.
    pub(crate) fn tick(&mut self) -> Due {
        if self.pulse.0.swap(false, Ordering::Relaxed) {
            self.silent_ticks = 0;
            return Due::Nothing;
        }
        self.silent_ticks += 1;
        if self.silent_ticks >= self.limit_ticks {
            return Due::Close;
        }
        match self.silent_ticks % PING_TICKS {
            0 => Due::Ping,
            _ => Due::Nothing,
        }
    }
}

/// Ticks that are not made up for after a pause.
pub(crate) fn ticks() -> Interval {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
