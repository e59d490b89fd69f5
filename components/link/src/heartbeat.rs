//! Detects connections on which no frames arrive.
//!
//! The time without a frame is counted in ticks instead of clock time. After a pause
//! of the whole process only one tick has passed, so the frames that arrived
//! meanwhile are read before the connection can be closed as inactive.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::{Interval, MissedTickBehavior, interval};

/// Interval at which a connection is checked.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of ticks without a frame between pings to the peer.
const PING_INTERVAL_TICKS: u32 = 3;

/// Flag that a frame has arrived, shared with the reading task.
#[derive(Clone, Default)]
pub(crate) struct Activity(Arc<AtomicBool>);

/// Counts the ticks since the last frame of a connection.
pub(crate) struct Heartbeat {
    activity: Activity,
    inactive_ticks: u32,
    /// Number of inactive ticks at which the connection is closed.
    limit_ticks: u32,
}

/// Action to take at a tick.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// No action.
    Nothing,
    /// Ping the peer.
    Ping,
    /// Close the connection.
    Close,
}

impl Activity {
    /// Records that a frame has arrived.
    pub(crate) fn record(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Heartbeat {
    /// Creates a heartbeat for a connection that counts as active now.
    pub(crate) fn new(activity: Activity, limit: Duration) -> Heartbeat {
        let limit_ticks = limit.as_millis().div_ceil(CHECK_INTERVAL.as_millis()) as u32;
        Heartbeat { activity, inactive_ticks: 0, limit_ticks }
    }

    /// Counts a tick and returns the action to take.
    pub(crate) fn tick(&mut self) -> Action {
        if self.activity.0.swap(false, Ordering::Relaxed) {
            self.inactive_ticks = 0;
            return Action::Nothing;
        }
        self.inactive_ticks += 1;
        if self.inactive_ticks >= self.limit_ticks {
            return Action::Close;
        }
        match self.inactive_ticks % PING_INTERVAL_TICKS {
            0 => Action::Ping,
            _ => Action::Nothing,
        }
    }
}

/// Interval between checks; ticks missed in a pause are not repeated afterwards.
pub(crate) fn ticks() -> Interval {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
