//! Admission, outcomes and expiry of ids.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use ident::{RequestId, Timestamp};
use mutation::{Mechanism, is_disabled};
use verdict::{Outcome, Refusal, Verdict};

use crate::entry::{
    Admission, Attempt, CancelResult, Entry, Record, State, answer_dropped, cancelled, expired,
    ledger_full,
};

/// Approximate size of an entry without its answer, in bytes. Each refusal that is stored
/// with it, at most four, takes as much again.
pub const ENTRY_BYTES: usize = 160;

/// Resolution of the time in an id.
pub(crate) const ID_TICK: Duration = Duration::from_millis(1);

/// Limits of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time for which ids and answers are kept.
    pub window: Duration,
    /// Maximum total size of the stored answers, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of ids.
    pub max_entries: usize,
}

/// Request ids that a node has recorded, with their states and outcomes.
#[derive(Debug, Clone)]
pub struct Ledger {
    limits: Limits,
    /// Ids created before this time that have no entry are refused.
    cutoff: Timestamp,
    /// Ordered by the time in the id.
    pub(crate) records: BTreeMap<RequestId, Record>,
    /// Ids with answers, in the order in which they ended; may contain evicted ids.
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

    /// Changes the limits; evicted ids and dropped answers are not restored.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.drop_answers();
    }

    /// Decides whether an attempt may start; `submitted` is the time at which its entry node
    /// received it.
    pub fn admit(
        &mut self,
        id: RequestId,
        attempt: u64,
        submitted: Timestamp,
        now: Timestamp,
    ) -> Admission {
        self.advance_cutoff(now);
        if is_disabled(Mechanism::Deduplication) {
            return Admission::Start;
        }
        let attempt = Attempt { number: attempt, submitted };
        let Some(record) = self.records.get_mut(&id) else {
            return match self.insert(id, State::Running(attempt)) {
                Ok(()) => Admission::Start,
                Err(refusal) => Admission::Refused(refusal),
            };
        };
        match &record.state {
            State::Running(_) | State::OnPredecessor => Admission::Attach,
            State::Cancelled => Admission::Refused(cancelled()),
            State::Finished(outcome) => Admission::Repeat(outcome.clone()),
            State::AnswerDropped => Admission::Refused(answer_dropped()),
            State::Open => match record.refused.find(attempt) {
                Some(refusal) => Admission::Refused(refusal.clone()),
                None => {
                    record.state = State::Running(attempt);
                    Admission::Start
                }
            },
        }
    }

    /// Revokes the admission of an attempt that was not started. Copies of the attempt
    /// get the refusal from now on; another attempt may start.
    ///
    /// A refusal with any verdict but `NotRun` is recorded as the final outcome.
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
    ///
    /// An earlier outcome is kept, unless its verdict is `MayHaveRun` and the new one is
    /// `Done`.
    pub fn finish(&mut self, id: RequestId, outcome: Outcome, now: Timestamp) {
        self.advance_cutoff(now);
        let Some(record) = self.records.get_mut(&id) else {
            if self.insert(id, State::Finished(outcome)).is_ok() {
                self.count_answer(id);
            }
            return;
        };
        let replaces = match &record.state {
            State::Running(_) | State::OnPredecessor | State::Open => true,
            State::Finished(earlier) => {
                earlier.verdict() == Verdict::MayHaveRun && outcome.verdict() == Verdict::Done
            }
            State::Cancelled | State::AnswerDropped => false,
        };
        if replaces {
            record.state = State::Finished(outcome);
            self.count_answer(id);
        }
    }

    /// Prevents the id from starting, unless an attempt is queued or running, or the id has
    /// its final outcome.
    pub fn cancel(&mut self, id: RequestId, now: Timestamp) -> CancelResult {
        self.advance_cutoff(now);
        let Some(record) = self.records.get_mut(&id) else {
            return match self.insert(id, State::Cancelled) {
                Ok(()) => CancelResult::NotStarted,
                Err(refusal) => CancelResult::Finished(Outcome::Refused(refusal)),
            };
        };
        match &record.state {
            State::Open => {
                record.state = State::Cancelled;
                CancelResult::NotStarted
            }
            State::Running(_) | State::OnPredecessor => CancelResult::Running,
            State::Cancelled => CancelResult::Finished(Outcome::Refused(cancelled())),
            State::Finished(outcome) => CancelResult::Finished(outcome.clone()),
            State::AnswerDropped => CancelResult::Finished(Outcome::Refused(answer_dropped())),
        }
    }

    /// State of the id, if it has an entry.
    pub fn get(&self, id: RequestId) -> Option<Entry> {
        self.records.get(&id).filter(|_| !is_disabled(Mechanism::Deduplication)).map(Record::entry)
    }

    /// Evicts ids that are older than the window, except those that are running on this
    /// node.
    pub fn expire(&mut self, now: Timestamp) {
        self.advance_cutoff(now);
        while let Some(id) = self.oldest_evictable() {
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

    /// Number of recorded ids.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no id is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Approximate memory in use, in bytes.
    pub fn bytes(&self) -> usize {
        self.records.len() * ENTRY_BYTES + self.answer_bytes
    }

    /// Ids created before this time that have no entry are refused.
    pub fn cutoff(&self) -> Timestamp {
        self.cutoff
    }

    /// Adds an id that has no entry; returns a refusal if it cannot be recorded.
    pub(crate) fn insert(&mut self, id: RequestId, state: State) -> Result<(), Refusal> {
        if id.created_at() < self.cutoff {
            return Err(expired());
        }
        while self.records.len() >= self.limits.max_entries {
            let Some(oldest) = self.oldest_evictable() else { return Err(ledger_full()) };
            self.remove(oldest);
            self.cutoff = self.cutoff.max(oldest.created_at() + ID_TICK);
        }
        if id.created_at() < self.cutoff {
            return Err(expired());
        }
        self.records.insert(id, Record::new(state));
        Ok(())
    }

    /// Adds the stored answer of an id to the memory in use, and drops the oldest answers
    /// above the limit.
    pub(crate) fn count_answer(&mut self, id: RequestId) {
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
                record.state = State::AnswerDropped;
                self.answer_bytes -= bytes;
            }
        }
    }

    fn advance_cutoff(&mut self, now: Timestamp) {
        self.cutoff = self.cutoff.max(now - self.limits.window);
    }

    fn oldest_evictable(&self) -> Option<RequestId> {
        let mut records = self.records.iter();
        records.find(|(_, record)| !record.is_running()).map(|(id, _)| *id)
    }

    fn remove(&mut self, id: RequestId) {
        if let Some(record) = self.records.remove(&id) {
            self.answer_bytes -= record.answer_bytes();
        }
    }
}
