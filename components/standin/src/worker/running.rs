//! Execution of one task.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use super::protocol::StopCause;

/// Settings of a running task, which its callers can change.
#[derive(Debug, Clone, Copy)]
pub(super) struct Control {
    /// When the lease expires.
    pub(super) lease_until: Instant,
    /// Percentage of full speed.
    pub(super) percent: u32,
    /// Why the task must stop, if it must.
    pub(super) stop: Option<StopCause>,
}

/// Runs a task that takes `run_time` at full speed, until it ends or is stopped.
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
