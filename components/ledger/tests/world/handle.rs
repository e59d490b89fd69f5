//! Handling of messages by processes.

use std::time::Duration;

use ident::{RequestId, Timestamp};
use ledger::{Admission, CancelResult, Ledger, Limits};
use rand::RngExt;
use tenure::Authority;
use verdict::{Answer, Outcome, Proof, Reason, Refusal, Verdict};

use super::{Defect, Message, World, host::State, node};

impl World {
    pub(super) fn deliver(&mut self, index: usize, message: Message) {
        if let Message::Append { shards } = message {
            // An append that was sent reaches the log even if its sender has died since.
            match self.log.is_up {
                true => self.log.append(node(index), shards),
                false => {
                    let message = Message::Append { shards };
                    let delay = Duration::from_secs(1 << self.rng.random_range(0..5));
                    if self.rng.random_range(0..4) == 0 {
                        self.network.send_after(index, message, self.now, delay);
                    }
                }
            }
            return;
        }
        let clock = self.clock(index);
        let host = &mut self.hosts[index];
        if host.process.is_none() {
            return;
        }
        if host.is_paused {
            return host.buffered.push(message);
        }
        self.handle(index, message, clock);
    }

    fn handle(&mut self, index: usize, message: Message, clock: Timestamp) {
        let Some(process) = &mut self.hosts[index].process else { return };
        match message {
            Message::PromiseRequest { owner, incarnation, next_offset } => {
                let next_offset = match self.defect {
                    Defect::UnknownDeputy => u64::MAX,
                    _ => next_offset,
                };
                let promise =
                    process.tenure.on_promise_request(owner, incarnation, next_offset, clock);
                if let Some(mut promise) = promise {
                    if self.defect == Defect::IgnoredOffset {
                        promise.next_offset = 0;
                    }
                    self.send_to_peer(index, owner, Message::Promise(promise));
                }
            }
            Message::Promise(promise) => process.tenure.on_promise(&promise, clock),
            Message::State { table, next_offset, read_at } => {
                let read_at = match self.defect {
                    Defect::ReadBeforeStart => clock,
                    _ => read_at,
                };
                if next_offset >= process.state.next_offset {
                    let read_at = read_at.max(process.state.read_at);
                    process.state = State { table, next_offset, read_at };
                    process.tenure.on_state(&process.state.table, next_offset, read_at, clock);
                }
            }
            Message::HandOver { from, ledger } => {
                let mut lost = Ledger::new(Limits::default());
                let target = match self.defect {
                    Defect::LostHandOver => &mut lost,
                    _ => &mut process.ledger,
                };
                let accepted = process.tenure.accept(from, &ledger, target, clock);
                let actions = accepted.expect("hand-over does not decode").actions;
                self.execute(index, actions);
            }
            Message::Run { id, attempt, submitted } => {
                self.on_run(index, id, attempt, submitted);
            }
            Message::Cancel { id } => self.on_cancel(index, id),
            Message::Begin { id, attempt, incarnation } => {
                if process.incarnation == incarnation {
                    self.begin(index, id, attempt);
                }
            }
            Message::End { id, incarnation } => {
                if process.incarnation == incarnation {
                    let answer = Answer { status: 200, body: vec![1] };
                    process.ledger.finish(id, Outcome::Done(answer), clock);
                }
            }
            Message::Exit { incarnation } => {
                if process.incarnation == incarnation {
                    self.hand_over(index);
                    self.kill(index);
                }
            }
            Message::Append { .. } => {}
        }
    }

    /// Authority of the node over the id, as changed by the defect.
    pub fn authority(&self, index: usize, id: RequestId) -> Option<Authority> {
        let process = self.hosts[index].process.as_ref()?;
        let authority = process.tenure.decide(id, self.clock(index));
        Some(match (self.defect, authority) {
            (Defect::IgnoredHorizon, Authority::PastHorizon) => Authority::Owner,
            (Defect::IgnoredFence, Authority::BeforeTenure) => Authority::Owner,
            (_, authority) => authority,
        })
    }

    fn on_run(&mut self, index: usize, id: RequestId, attempt: u64, submitted: Timestamp) {
        if self.authority(index, id) != Some(Authority::Owner) {
            return;
        }
        let clock = self.clock(index);
        let Some(process) = &mut self.hosts[index].process else { return };
        let incarnation = process.incarnation;
        match process.ledger.admit(id, attempt, submitted, clock) {
            Admission::Start => {
                let delay = Duration::from_millis(1 << self.rng.random_range(0..8));
                let message = Message::Begin { id, attempt, incarnation };
                self.network.send_after(index, message, self.now, delay);
            }
            Admission::Attach => {}
            Admission::Repeat(outcome) => {
                if outcome.verdict() == Verdict::NotRun {
                    self.audit.record_not_run(id, attempt);
                }
            }
            Admission::Refused(refusal) => {
                if refusal.verdict() == Verdict::NotRun {
                    self.audit.record_not_run(id, attempt);
                }
            }
        }
    }

    fn begin(&mut self, index: usize, id: RequestId, attempt: u64) {
        let clock = self.clock(index);
        let is_refused = self.rng.random_range(0..4) == 0;
        let Some(process) = &mut self.hosts[index].process else { return };
        let incarnation = process.incarnation;
        if is_refused {
            let proof = Proof::owner_never_started();
            let refusal = Refusal::not_run(proof, Reason::Overloaded, "The queue is full.");
            process.ledger.refuse(id, attempt, refusal, clock);
            self.audit.record_not_run(id, attempt);
            if self.defect == Defect::LostRefusal {
                process.ledger = Ledger::new(Limits::default());
            }
            return;
        }
        self.audit.record_start(id, attempt);
        let delay = Duration::from_millis(1 << self.rng.random_range(0..11));
        self.network.send_after(index, Message::End { id, incarnation }, self.now, delay);
    }

    fn on_cancel(&mut self, index: usize, id: RequestId) {
        if self.authority(index, id) != Some(Authority::Owner) {
            return;
        }
        let clock = self.clock(index);
        let defect = self.defect;
        let Some(process) = &mut self.hosts[index].process else { return };
        let mut copy = process.ledger.clone();
        let ledger = match defect {
            Defect::LostCancellation => &mut copy,
            _ => &mut process.ledger,
        };
        match ledger.cancel(id, clock) {
            CancelResult::NotStarted => self.audit.record_cancelled(id),
            CancelResult::Finished(outcome) if outcome.verdict() == Verdict::NotRun => {
                self.audit.record_cancelled(id);
            }
            CancelResult::Running | CancelResult::Finished(_) => {}
        }
    }
}
