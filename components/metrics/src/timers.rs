//! Start times of requests in progress and of waits in the queue.

use std::collections::HashMap;

use ident::{RequestId, Timestamp};
use node::CallerToken;

use crate::labels::KindLabels;

/// Maximum number of queue waits timed at once; when it is reached, all are dropped.
const MAX_WAITS: usize = 100_000;

/// Start times of callers' requests and of waits in the queue.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    requests: HashMap<CallerToken, Timer>,
    waits: HashMap<RequestId, Timestamp>,
}

/// Timer of a caller's request in progress.
#[derive(Debug)]
pub(crate) struct Timer {
    /// When the request arrived.
    pub(crate) started: Timestamp,
    /// Requested service and kind.
    pub(crate) kind: KindLabels,
}

impl Timers {
    /// Starts timing a caller's request.
    pub(crate) fn start_request(
        &mut self,
        token: CallerToken,
        now: Timestamp,
        service: &str,
        kind: &str,
    ) {
        let timer = Timer { started: now, kind: KindLabels::new(service, kind) };
        self.requests.insert(token, timer);
    }

    /// Ends timing a caller's request.
    pub(crate) fn end_request(&mut self, token: CallerToken) -> Option<Timer> {
        self.requests.remove(&token)
    }

    /// Records that a request has entered the queue.
    pub(crate) fn start_wait(&mut self, id: RequestId, now: Timestamp) {
        if self.waits.len() >= MAX_WAITS {
            self.waits.clear();
        }
        self.waits.insert(id, now);
    }

    /// Records that a request has left the queue; returns when it entered.
    pub(crate) fn end_wait(&mut self, id: RequestId) -> Option<Timestamp> {
        self.waits.remove(&id)
    }
}
