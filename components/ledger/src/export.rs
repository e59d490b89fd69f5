//! Transfer of entries to the next owner.

use ident::{RequestId, Timestamp};
use serde::{Deserialize, Serialize};
use verdict::{Outcome, Verdict};

use crate::{
    Ledger,
    entry::{Record, State},
};

/// Maximum total size of the answers in an export, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of ids in an export.
const MAX_ENTRIES: usize = 50_000;

/// Entries in transit to the next owner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Export {
    /// Ids created before this time may be missing.
    pub since: Timestamp,
    entries: Vec<(RequestId, Record)>,
}

impl Ledger {
    /// Copies the entries of the ids that `wanted` selects, newest first. Entries and
    /// answers that exceed the size of one message are left out.
    pub fn export(&self, wanted: impl Fn(RequestId) -> bool) -> Export {
        let mut export = Export { since: self.cutoff(), entries: Vec::new() };
        let mut answer_bytes = 0;
        for (id, record) in self.records.iter().rev().filter(|(id, _)| wanted(**id)) {
            if export.entries.len() >= MAX_ENTRIES {
                export.since = export.since.max(id.created_at() + super::ledger::ID_TICK);
                break;
            }
            answer_bytes += record.answer_bytes();
            let state = match answer_bytes <= MAX_ANSWER_BYTES {
                true => exported_state(&record.state),
                false => without_answer(&record.state),
            };
            let refused = record.refused.clone();
            export.entries.push((*id, Record { state, refused }));
        }
        export
    }

    /// Merges the entries of a predecessor. Returns the ids, newest first, that were
    /// recorded as running on the predecessor and that the export reports as ended or
    /// refused.
    pub fn import(&mut self, export: Export) -> Vec<RequestId> {
        let mut ended = Vec::new();
        for (id, record) in export.entries {
            let was_on_predecessor =
                self.records.get(&id).is_some_and(|it| it.state == State::OnPredecessor);
            self.import_entry(id, record);
            let is_on_predecessor =
                self.records.get(&id).is_some_and(|it| it.state == State::OnPredecessor);
            if was_on_predecessor && !is_on_predecessor {
                ended.push(id);
            }
        }
        ended
    }

    fn import_entry(&mut self, id: RequestId, theirs: Record) {
        let Some(ours) = self.records.get_mut(&id) else {
            if self.insert(id, theirs.state).is_ok() {
                self.records.entry(id).and_modify(|it| it.refused = theirs.refused);
                self.count_answer(id);
            }
            return;
        };
        // After the earlier export, the predecessor refused the attempt that was running then.
        let was_refused = ours.state == State::OnPredecessor
            && theirs.state == State::Open
            && !theirs.refused.is_empty();
        if was_refused || precedence(&theirs.state) > precedence(&ours.state) {
            ours.state = theirs.state;
            ours.refused.merge(theirs.refused);
            self.count_answer(id);
        } else {
            ours.refused.merge(theirs.refused);
        }
    }
}

/// State that the next owner records.
fn exported_state(state: &State) -> State {
    match state {
        State::Running(_) => State::OnPredecessor,
        State::Open
        | State::OnPredecessor
        | State::Cancelled
        | State::Finished(_)
        | State::AnswerDropped => state.clone(),
    }
}

/// State that the next owner records if the answer exceeds the size of the export.
fn without_answer(state: &State) -> State {
    match state {
        State::Finished(Outcome::Done(_)) => State::AnswerDropped,
        State::Finished(Outcome::Refused(_))
        | State::Open
        | State::Running(_)
        | State::OnPredecessor
        | State::Cancelled
        | State::AnswerDropped => exported_state(state),
    }
}

/// Precedence when two ledgers are merged: of the two states of an id, the higher one is kept.
fn precedence(state: &State) -> u8 {
    match state {
        State::Open => 0,
        State::Cancelled => 1,
        State::OnPredecessor => 2,
        State::Finished(outcome) => match outcome.verdict() {
            Verdict::NotRun => 1,
            Verdict::MayHaveRun => 3,
            Verdict::Done => 6,
        },
        State::Running(_) => 4,
        State::AnswerDropped => 5,
    }
}
