//! The ledger itself.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use ident::{RequestId, Timestamp};
use mutation::{Mechanism, is_off};
use verdict::{Outcome, Refusal, Verdict};

use crate::entry::{
    Admit, Attempt, Cancelled, Entry, Record, State, answer_dropped, cancelled, expired, full,
};

/// Memory that an entry takes besides its answer, in bytes; each of at most four
/// remembered refusals takes as much again.
pub const ENTRY_BYTES: usize = 160;

/// Smallest step of the time inside an id.
pub(crate) const ID_TICK: Duration = Duration::from_millis(1);

/// Bounds of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time for which ids and answers are kept.
    pub window: Duration,
    /// Memory for all answers together, in bytes.
    pub max_answer_bytes: usize,
    /// Number of ids.
    pub max_entries: usize,
}

/// Ids that an owner has seen, with their outcomes.
#[derive(Debug, Clone)]
pub struct Ledger {
    limits: Limits,
    /// Ids made before this time that have no entry are refused.
    cutoff: Timestamp,
    /// Ordered by the time inside the id.
    pub(crate) records: BTreeMap<RequestId, Record>,
    /// Ids with answers, in the order in which they ended.
    answers: VecDeque<RequestId>,
    answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            window: Duration::from_secs(600),
            max_answer_bytes: 64 * 1024 * 1024,
            max_entries: 250_000,
        }
    }
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: Limits) -> Ledger {
        Ledger {
            limits,
            cutoff: Timestamp::ZERO,
            records: BTreeMap::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Changes the bounds; what was forgotten stays forgotten.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.drop_answers();
    }

    /// Decides about an attempt that reached its entry at `submitted`.
    pub fn admit(
        &mut self,
        id: RequestId,
        attempt: u64,
        submitted: Timestamp,
        now: Timestamp,
    ) -> Admit {
        self.advance(now);
        if is_off(Mechanism::DuplicateRemoval) {
            return Admit::Start;
        }
        let attempt = Attempt { number: attempt, submitted };
        let Some(record) = self.records.get_mut(&id) else {
            return match self.insert(id, State::Running(attempt)) {
                Ok(()) => Admit::Start,
                Err(refusal) => Admit::Refused(refusal),
            };
        };
        match &record.state {
            State::Running(_) | State::Elsewhere => Admit::Attach,
            State::Cancelled => Admit::Refused(cancelled()),
            State::Finished(outcome) => Admit::Repeat(outcome.clone()),
            State::Forgotten => Admit::Refused(answer_dropped()),
            State::Open => match record.refused.find(attempt) {
                Some(refusal) => Admit::Refused(refusal.clone()),
                None => {
                    record.state = State::Running(attempt);
                    Admit::Start
                }
            },
        }
    }

    /// Takes back the start of an attempt that was not carried out: this attempt
    /// gets the refusal for ever, another one may start.
    ///
    /// A refusal that is not sure that the id has not run is final.
    pub fn refuse(&mut self, id: RequestId, attempt: u64, refusal: Refusal, now: Timestamp) {
        match refusal.verdict() {
            Verdict::NotRun => {}
            Verdict::MayHaveRun | Verdict::Done => {
                return self.finish(id, Outcome::Refused(refusal), now);
            }
        }
        let Some(record) = self.records.get_mut(&id) else { return };
        if let State::Running(started) = record.state
            && started.number == attempt
        {
            record.refused.add(started, refusal);
            record.state = State::Open;
        }
    }

    /// Records the final outcome of an id.
    pub fn finish(&mut self, id: RequestId, outcome: Outcome, now: Timestamp) {
        self.advance(now);
        let Some(record) = self.records.get_mut(&id) else {
            if self.insert(id, State::Finished(outcome)).is_ok() {
                self.note_answer(id);
            }
            return;
        };
        let replaces = match &record.state {
            State::Running(_) | State::Elsewhere | State::Open => true,
            State::Finished(earlier) => {
                earlier.verdict() == Verdict::MayHaveRun && outcome.verdict() == Verdict::Done
            }
            State::Cancelled | State::Forgotten => false,
        };
        if replaces {
            record.state = State::Finished(outcome);
            self.note_answer(id);
        }
    }

    /// Forbids the id to start, if it has not.
    pub fn cancel(&mut self, id: RequestId, now: Timestamp) -> Cancelled {
        self.advance(now);
        let Some(record) = self.records.get_mut(&id) else {
            return match self.insert(id, State::Cancelled) {
                Ok(()) => Cancelled::NotSeen,
                Err(refusal) => Cancelled::Finished(Outcome::Refused(refusal)),
            };
        };
        match &record.state {
            State::Open => {
                record.state = State::Cancelled;
                Cancelled::NotSeen
            }
            State::Running(_) | State::Elsewhere => Cancelled::Running,
            State::Cancelled => Cancelled::Finished(Outcome::Refused(cancelled())),
            State::Finished(outcome) => Cancelled::Finished(outcome.clone()),
            State::Forgotten => Cancelled::Finished(Outcome::Refused(answer_dropped())),
        }
    }

    /// What is known of the id.
    pub fn get(&self, id: RequestId) -> Option<Entry> {
        self.records.get(&id).filter(|_| !is_off(Mechanism::DuplicateRemoval)).map(Record::entry)
    }

    /// Forgets ids that are older than the window.
    pub fn expire(&mut self, now: Timestamp) {
        self.advance(now);
        while let Some(id) = self.oldest_finished() {
            if id.created_at() >= self.cutoff {
                break;
            }
            self.remove(id);
        }
        if self.answers.len() > 2 * self.records.len() {
            let records = &self.records;
            self.answers.retain(|id| records.contains_key(id));
        }
    }

    /// Number of ids.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no id is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Approximate memory in use.
    pub fn bytes(&self) -> usize {
        self.records.len() * ENTRY_BYTES + self.answer_bytes
    }

    /// Ids made before this time that have no entry are refused.
    pub fn cutoff(&self) -> Timestamp {
        self.cutoff
    }

    /// Adds an id that has no entry, or tells why it can't be remembered.
    pub(crate) fn insert(&mut self, id: RequestId, state: State) -> Result<(), Refusal> {
        if id.created_at() < self.cutoff {
            return Err(expired());
        }
        while self.records.len() >= self.limits.max_entries {
            let Some(oldest) = self.oldest_finished() else { return Err(full()) };
            self.remove(oldest);
            self.cutoff = self.cutoff.max(oldest.created_at() + ID_TICK);
        }
        if id.created_at() < self.cutoff {
            return Err(expired());
        }
        self.records.insert(id, Record::new(state));
        Ok(())
    }

    /// Counts the answer of an id that has just ended.
    pub(crate) fn note_answer(&mut self, id: RequestId) {
        let bytes = self.records.get(&id).map_or(0, Record::answer_bytes);
        if bytes > 0 {
            self.answer_bytes += bytes;
            self.answers.push_back(id);
            self.drop_answers();
        }
    }

    fn drop_answers(&mut self) {
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(id) = self.answers.pop_front() else { return };
            let Some(record) = self.records.get_mut(&id) else { continue };
            let bytes = record.answer_bytes();
            if bytes > 0 {
                record.state = State::Forgotten;
                self.answer_bytes -= bytes;
            }
        }
    }

    fn advance(&mut self, now: Timestamp) {
        self.cutoff = self.cutoff.max(now - self.limits.window);
    }

    fn oldest_finished(&self) -> Option<RequestId> {
        let mut records = self.records.iter();
        records.find(|(_, record)| !record.is_running()).map(|(id, _)| *id)
    }

    fn remove(&mut self, id: RequestId) {
        if let Some(record) = self.records.remove(&id) {
            self.answer_bytes -= record.answer_bytes();
        }
    }
}
