//! Unix signals, which the platform sends to control a process.

use eyre::{Context, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of SIGTERM, SIGINT and SIGHUP.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// Action that a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalAction {
    /// Finish the work in progress and stop.
    Stop,
    /// Reload the settings.
    Reload,
}

impl Signals {
    /// Installs the handlers.
    pub(crate) fn new() -> Result<Signals> {
        let listen = |kind| signal(kind).context("signal handlers cannot be installed");
        Ok(Signals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}
