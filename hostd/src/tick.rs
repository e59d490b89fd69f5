//! Periodic ticks for the core of a process.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

/// Interval between ticks, which limits the resolution of all timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Calls `tick` at a fixed interval until it returns false.
pub(crate) async fn run(mut tick: impl FnMut() -> bool) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !tick() {
            return;
        }
    }
}
