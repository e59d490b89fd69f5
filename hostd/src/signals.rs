//! Signals of the platform.

use eyre::{Context, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that a process listens for.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Asked {
    /// Stop after what is in progress.
    Stop,
    /// Read the settings again.
    Reload,
}

impl Signals {
    /// Listens from now on.
    pub(crate) fn new() -> Result<Signals> {
        let listen = |kind| signal(kind).context("signals cannot be listened for");
        Ok(Signals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal.
    pub(crate) async fn next(&mut self) -> Asked {
        tokio::select! {
            _ = self.terminate.recv() => Asked::Stop,
            _ = self.interrupt.recv() => Asked::Stop,
            _ = self.hangup.recv() => Asked::Reload,
        }
    }
}
