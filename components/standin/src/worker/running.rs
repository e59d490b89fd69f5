//! The course of one task.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use super::protocol::StopCause;

/// What its callers want of a running task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Control {
    /// The task is stopped at this time unless renewed.
    pub(super) lease_until: Instant,
    /// Share of full speed.
    pub(super) percent: u32,
    /// The task is stopped now.
    pub(super) stop: Option<StopCause>,
}

/// Works for `run_time` at full speed, or until stopped.
pub(super) async fn work(
    run_time: Duration,
    mut control: watch::Receiver<Control>,
) -> Result<(), StopCause> {
    let mut left = run_time;
    loop {
        let Control { lease_until, percent, stop } = *control.borrow_and_update();
        if let Some(cause) = stop {
            return Err(cause);
        }
        let began = Instant::now();
        tokio::select! {
            () = sleep_until(began + left * 100 / percent) => return Ok(()),
            () = sleep_until(lease_until) => return Err(StopCause::LeaseLapsed),
            _ = control.changed() => {}
        }
        left = left.saturating_sub(began.elapsed() * percent / 100);
    }
}
