//! Start times of what is in progress.

use std::collections::HashMap;

use ident::{RequestId, Timestamp};
use node::CallerToken;

use crate::labels::Kind;

/// Ids whose wait in the queue is timed at a time; at this number all are dropped.
const MAX_WAITS: usize = 100_000;

/// Start times of callers' requests and of waits in the queue.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    requests: HashMap<CallerToken, Timer>,
    waits: HashMap<RequestId, Timestamp>,
}

/// A caller's request in progress.
#[derive(Debug)]
pub(crate) struct Timer {
    /// When it arrived.
    pub(crate) started: Timestamp,
    /// What it asks for.
    pub(crate) kind: Kind,
}

impl Timers {
    /// A caller's request has arrived.
    pub(crate) fn start_request(
        &mut self,
        token: CallerToken,
        now: Timestamp,
        service: &str,
        kind: &str,
    ) {
        let timer = Timer { started: now, kind: Kind::new(service, kind) };
        self.requests.insert(token, timer);
    }

    /// A caller's request has ended.
    pub(crate) fn end_request(&mut self, token: CallerToken) -> Option<Timer> {
        self.requests.remove(&token)
    }

    /// A request has entered the queue.
    pub(crate) fn start_wait(&mut self, id: RequestId, now: Timestamp) {
        if self.waits.len() >= MAX_WAITS {
            self.waits.clear();
        }
        self.waits.insert(id, now);
    }

    /// A request has left the queue; says when it entered.
    pub(crate) fn end_wait(&mut self, id: RequestId) -> Option<Timestamp> {
        self.waits.remove(&id)
    }
}
