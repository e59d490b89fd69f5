//! Decisions that are kept for `explain`.

use std::collections::{HashMap, VecDeque};

use ident::RequestId;
use node::Decision;

/// Ids whose decisions are kept; the oldest make room for new ones.
const MAX_IDS: usize = 10_000;

/// Decisions that are kept of one id.
const MAX_DECISIONS: usize = 256;

/// The latest decisions, by id.
#[derive(Debug, Default)]
pub(crate) struct Explain {
    decisions: HashMap<RequestId, Vec<Decision>>,
    order: VecDeque<RequestId>,
}

impl Explain {
    /// Keeps a decision.
    pub(crate) fn keep(&mut self, decision: Decision) {
        let id = decision.id;
        if !self.decisions.contains_key(&id) {
            self.make_room();
            self.order.push_back(id);
        }
        let decisions = self.decisions.entry(id).or_default();
        if decisions.len() < MAX_DECISIONS {
            decisions.push(decision);
        }
    }

    /// Decisions about an id, oldest first.
    pub(crate) fn decisions(&self, id: RequestId) -> Vec<Decision> {
        self.decisions.get(&id).cloned().unwrap_or_default()
    }

    fn make_room(&mut self) {
        while self.order.len() >= MAX_IDS {
            if let Some(oldest) = self.order.pop_front() {
                self.decisions.remove(&oldest);
            }
        }
    }
}
