//! Moving entries to the next owner.

use ident::{RequestId, Timestamp};
use serde::{Deserialize, Serialize};
use verdict::{Outcome, Verdict};

use crate::{
    Ledger,
    entry::{Record, State},
};

/// Memory for the answers in an export, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Number of ids in an export.
const MAX_ENTRIES: usize = 50_000;

/// Entries on their way to the next owner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Export {
    /// Ids made before this time may be missing.
    pub since: Timestamp,
    entries: Vec<(RequestId, Record)>,
}

impl Ledger {
    /// Copies the entries of the ids that `wanted` selects, the newest first, as
    /// far as they fit into one message.
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
                true => exported(&record.state),
                false => without_answer(&record.state),
            };
            let refused = record.refused.clone();
            export.entries.push((*id, Record { state, refused }));
        }
        export
    }

    /// Adds the entries of a predecessor; returns the ids that it ran and of which
    /// the outcome has become known by this, the newest first.
    pub fn import(&mut self, export: Export) -> Vec<RequestId> {
        let mut ended = Vec::new();
        for (id, record) in export.entries {
            let waiting = self.records.get(&id).is_some_and(|it| it.state == State::Elsewhere);
            self.import_entry(id, record);
            let open = self.records.get(&id).is_some_and(|it| it.state == State::Elsewhere);
            if waiting && !open {
                ended.push(id);
            }
        }
        ended
    }

    fn import_entry(&mut self, id: RequestId, theirs: Record) {
        let Some(ours) = self.records.get_mut(&id) else {
            if self.insert(id, theirs.state).is_ok() {
                self.records.entry(id).and_modify(|it| it.refused = theirs.refused);
                self.note_answer(id);
            }
            return;
        };
        // The predecessor gave up on the attempt that it had when it handed over.
        let given_up = ours.state == State::Elsewhere
            && theirs.state == State::Open
            && !theirs.refused.is_empty();
        if given_up || rank(&theirs.state) > rank(&ours.state) {
            ours.state = theirs.state;
            ours.refused.merge(theirs.refused);
            self.note_answer(id);
        } else {
            ours.refused.merge(theirs.refused);
        }
    }
}

fn exported(state: &State) -> State {
    match state {
        State::Running(_) => State::Elsewhere,
        State::Open
        | State::Elsewhere
        | State::Cancelled
        | State::Finished(_)
        | State::Forgotten => state.clone(),
    }
}

fn without_answer(state: &State) -> State {
    match state {
        State::Finished(Outcome::Done(_)) => State::Forgotten,
        State::Finished(Outcome::Refused(_))
        | State::Open
        | State::Running(_)
        | State::Elsewhere
        | State::Cancelled
        | State::Forgotten => exported(state),
    }
}

/// Which of two ledgers knows more about an id.
fn rank(state: &State) -> u8 {
    match state {
        State::Open => 0,
        State::Cancelled => 1,
        State::Elsewhere => 2,
        State::Finished(outcome) => match outcome.verdict() {
            Verdict::NotRun => 1,
            Verdict::MayHaveRun => 3,
            Verdict::Done => 6,
        },
        State::Running(_) => 4,
        State::Forgotten => 5,
    }
}
