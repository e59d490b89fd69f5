//! History of recent decisions, which `explain` reads.

use std::collections::{HashMap, VecDeque};

use ident::RequestId;
use node::Decision;

/// Ids whose decisions are kept; the oldest id is evicted first.
const MAX_IDS: usize = 10_000;

/// Decisions kept for one id; later ones are dropped.
const MAX_DECISIONS_PER_ID: usize = 256;

/// Decisions kept for all ids.
const MAX_DECISIONS: usize = 65_536;

/// Decisions of recent requests, by id.
#[derive(Debug, Default)]
pub(crate) struct DecisionHistory {
    decisions: HashMap<RequestId, Vec<Decision>>,
    order: VecDeque<RequestId>,
    /// Number of decisions of all ids.
    total: usize,
}

impl DecisionHistory {
    /// Records a decision, unless its id has the maximum already.
    pub(crate) fn record(&mut self, decision: Decision) {
        let id = decision.id;
        if !self.decisions.contains_key(&id) {
            if self.order.len() == MAX_IDS {
                self.remove_oldest();
            }
            self.order.push_back(id);
        }
        let decisions = self.decisions.entry(id).or_default();
        if decisions.len() < MAX_DECISIONS_PER_ID {
            decisions.push(decision);
            self.total += 1;
        }
        while self.total > MAX_DECISIONS {
            self.remove_oldest();
        }
    }

    /// Decisions for an id, oldest first; empty if none are kept.
    pub(crate) fn decisions(&self, id: RequestId) -> Vec<Decision> {
        self.decisions.get(&id).cloned().unwrap_or_default()
    }

    fn remove_oldest(&mut self) {
        let oldest = self.order.pop_front();
        let decisions = oldest.and_then(|it| self.decisions.remove(&it));
        self.total -= decisions.map_or(0, |it| it.len());
    }
}
