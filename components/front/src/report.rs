//! What callers' connections report to the core.

use std::sync::atomic::{AtomicUsize, Ordering};

use node::{CallerReply, CallerRequest, CallerToken};
use tokio::sync::oneshot;

/// What callers' connections report.
#[derive(Debug)]
pub enum FromCaller {
    /// A caller sent a request and waits for the reply.
    Request {
        /// Names the request.
        token: CallerToken,
        /// What the caller asks.
        request: CallerRequest,
        /// Where the reply goes.
        reply: oneshot::Sender<CallerReply>,
    },
    /// A caller closed its connection before the reply.
    Gone {
        /// Names the request.
        token: CallerToken,
    },
}

/// Where reports of callers' connections go.
pub(crate) type Sink = Box<dyn Fn(FromCaller) + Send + Sync>;

/// Counts a request until it is answered or given up.
pub(crate) struct Counted<'a>(&'a AtomicUsize);

impl Counted<'_> {
    /// Counts one more.
    pub(crate) fn new(count: &AtomicUsize) -> Counted<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reports a caller whose connection closes before the reply.
pub(crate) struct Gone<'a> {
    token: CallerToken,
    sink: &'a Sink,
    armed: bool,
}

impl Gone<'_> {
    /// Watches over a request that has gone to `sink`.
    pub(crate) fn new(token: CallerToken, sink: &Sink) -> Gone<'_> {
        Gone { token, sink, armed: true }
    }

    /// The reply has come; there is nothing to report any more.
    pub(crate) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        if self.armed {
            (self.sink)(FromCaller::Gone { token: self.token });
        }
    }
}
