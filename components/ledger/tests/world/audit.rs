//! Checks of the invariants of starts, refusals and cancellations.

use std::collections::{HashMap, HashSet};

use ident::RequestId;

/// Record of all starts and of all replies to callers.
#[derive(Debug, Default)]
pub struct Audit {
    /// Starts of each id.
    starts: HashMap<RequestId, u32>,
    /// Attempts that were reported to a caller as not run.
    not_run: HashSet<(RequestId, u64)>,
    /// Ids that were reported to a caller as cancelled.
    cancelled: HashSet<RequestId>,
    /// The first violation.
    pub violation: Option<String>,
}

impl Audit {
    /// Records that an endpoint starts an attempt.
    pub fn record_start(&mut self, id: RequestId, attempt: u64) {
        let starts = self.starts.entry(id).or_default();
        *starts += 1;
        if *starts > 1 {
            self.violate(format!("{id} was started twice"));
        }
        if self.not_run.contains(&(id, attempt)) {
            self.violate(format!(
                "attempt {attempt} at {id} was reported as not_run, then started"
            ));
        }
        if self.cancelled.contains(&id) {
            self.violate(format!("{id} was reported as cancelled, then started"));
        }
    }

    /// Records the reply to a caller that the id has not run and this attempt never will.
    pub fn record_not_run(&mut self, id: RequestId, attempt: u64) {
        if self.started(id) {
            self.violate(format!("attempt {attempt} at {id} was reported as not_run, but had run"));
        }
        self.not_run.insert((id, attempt));
    }

    /// Records the reply to a caller that the id has not run and never will.
    pub fn record_cancelled(&mut self, id: RequestId) {
        if self.started(id) {
            self.violate(format!("{id} was reported as cancelled, but had run"));
        }
        self.cancelled.insert(id);
    }

    /// Whether the id was started.
    pub fn started(&self, id: RequestId) -> bool {
        self.starts.contains_key(&id)
    }

    fn violate(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }
}
