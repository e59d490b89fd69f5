//! Events that callers' connections send to the core.

use std::sync::atomic::{AtomicUsize, Ordering};

use node::{CallerReply, CallerRequest, CallerToken};
use tokio::sync::oneshot;

/// Event from a caller's connection.
#[derive(Debug)]
pub enum CallerEvent {
    /// A caller sent a request and waits for its reply.
    Request {
        /// Identifies the request.
        token: CallerToken,
        /// The request.
        request: CallerRequest,
        /// Receives the reply.
        reply: oneshot::Sender<CallerReply>,
    },
    /// A caller closed its connection before the reply.
    Disconnected {
        /// Identifies the request.
        token: CallerToken,
    },
}

/// Receives the events of callers' connections.
pub(crate) type EventSink = Box<dyn Fn(CallerEvent) + Send + Sync>;

/// Counts a request as in progress until it is dropped.
pub(crate) struct InProgressGuard<'a>(&'a AtomicUsize);

impl InProgressGuard<'_> {
    /// Increments the count.
    pub(crate) fn new(count: &AtomicUsize) -> InProgressGuard<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        InProgressGuard(count)
    }
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reports on drop that a caller has disconnected, unless it was disarmed.
pub(crate) struct DisconnectGuard<'a> {
    token: CallerToken,
    sink: &'a EventSink,
    armed: bool,
}

impl DisconnectGuard<'_> {
    /// Creates a guard for a request that was sent to `sink`.
    pub(crate) fn new(token: CallerToken, sink: &EventSink) -> DisconnectGuard<'_> {
        DisconnectGuard { token, sink, armed: true }
    }

    /// Disarms the guard once the reply has arrived.
    pub(crate) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            (self.sink)(CallerEvent::Disconnected { token: self.token });
        }
    }
}
