//! Checks what must always hold.

use std::collections::{HashMap, HashSet};

use ident::RequestId;

/// Everything that was started and everything that callers were told.
#[derive(Debug, Default)]
pub struct Audit {
    /// Starts of each id.
    starts: HashMap<RequestId, u32>,
    /// Attempts of which a caller was told that they have not run.
    not_run: HashSet<(RequestId, u64)>,
    /// Ids of which a caller was told that they are cancelled.
    cancelled: HashSet<RequestId>,
    /// The first violation.
    pub violation: Option<String>,
}

impl Audit {
    /// An endpoint starts an attempt.
    pub fn start(&mut self, id: RequestId, attempt: u64) {
        let starts = self.starts.entry(id).or_default();
        *starts += 1;
        if *starts > 1 {
            self.violate(format!("{id} was started twice"));
        }
        if self.not_run.contains(&(id, attempt)) {
            self.violate(format!("attempt {attempt} at {id} was told not_run, then started"));
        }
        if self.cancelled.contains(&id) {
            self.violate(format!("{id} was told cancelled, then started"));
        }
    }

    /// A caller is told that the id has not run, and that this attempt won't.
    pub fn tell_not_run(&mut self, id: RequestId, attempt: u64) {
        if self.started(id) {
            self.violate(format!("attempt {attempt} at {id} was told not_run, but had run"));
        }
        self.not_run.insert((id, attempt));
    }

    /// A caller is told that the id has not run and never will.
    pub fn tell_cancelled(&mut self, id: RequestId) {
        if self.started(id) {
            self.violate(format!("{id} was told cancelled, but had run"));
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
