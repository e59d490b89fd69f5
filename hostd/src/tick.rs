//! Ticks for the core of a process, at a steady pace.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

/// Time between two ticks; the accuracy of all time limits.
const TICK: Duration = Duration::from_millis(10);

/// Calls `tick` at a steady pace until it returns false.
pub(crate) async fn run(mut tick: impl FnMut() -> bool) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !tick() {
            return;
        }
    }
}
