//! Admission, completion, status and cancellation of requests.

use std::time::Duration;

use ident::{RequestId, Timestamp};
use ledger::{Admission, CancelResult, Entry};
use node::{Decision, Effect, ReplyTo, Step};
use tenure::{Authority, PROMISE_TERM};
use verdict::{Outcome, Proof, Reason, Refusal};
use wire::{Call, Cancel, Reply, Run, RunReply, Status};

use crate::{
    Agent,
    deferral::DeferredCall,
    outcome_waiters::ReplyKind,
    request::{NOTICE_TIMEOUT, Origin, Pending, Request, RequestKey, Stage},
};

/// Retry delay for callers while the owner of an id is uncertain or this agent may
/// not decide for it.
const OWNER_RETRY_DELAY: Duration = PROMISE_TERM;

impl Agent {
    /// Handles a request from an entry.
    pub(crate) fn on_run(&mut self, from: ReplyTo, run: Run) {
        if self.attach_entry(from, run.id) {
            return;
        }
        let Some(config) = self.state.config.clone() else {
            let message = "This agent has no configuration yet; try again shortly.";
            let refusal = Refusal::may_have_run(Reason::NotConfigured, message);
            return self.refuse(from, run.id, refusal.with_retry_after(OWNER_RETRY_DELAY));
        };
        let Some(kind) = config.inventory.kind(&run.service, &run.kind) else {
            let message = format!("{}/{} is not a request kind in force.", run.service, run.kind);
            return self.refuse(from, run.id, Refusal::may_have_run(Reason::Unknown, message));
        };
        match kind.idempotent {
            true => self.accept(from, run, Origin::Idempotent),
            false => self.on_owned_run(from, run),
        }
    }

    fn on_owned_run(&mut self, from: ReplyTo, run: Run) {
        if let Some(Entry::Finished(outcome)) = self.ledger.get(run.id) {
            return self.repeat_outcome(from, run.id, outcome);
        }
        match self.should_defer(run.id) {
            true => self.defer(from, DeferredCall::Run(Box::new(run))),
            false => self.decide_run(from, run),
        }
    }

    /// Starts or refuses a request, attaches the call to an earlier start of the id, or
    /// repeats a recorded outcome.
    pub(crate) fn decide_run(&mut self, from: ReplyTo, run: Run) {
        if let Err(refusal) = self.check_authority(run.id) {
            return self.refuse(from, run.id, refusal);
        }
        match self.ledger.admit(run.id, run.attempt, run.submitted, self.now) {
            Admission::Start if run.over_quota => self.refuse_over_quota(from, &run),
            Admission::Start => self.accept(from, run, Origin::Owner),
            Admission::Attach => self.await_outcome(from, ReplyKind::Run, run.id, run.budget),
            Admission::Repeat(outcome) => self.repeat_outcome(from, run.id, outcome),
            Admission::Refused(refusal) => self.refuse(from, run.id, refusal),
        }
    }

    /// Checks that this agent may decide for `id`; returns the refusal to send if it
    /// may not.
    pub(crate) fn check_authority(&self, id: RequestId) -> Result<(), Refusal> {
        match self.tenure.decide(id, self.now) {
            Authority::Owner => Ok(()),
            Authority::BeforeTenure => {
                let message = "An earlier owner may have run this id, and its record is gone; \
                               send new work under a new id.";
                Err(Refusal::may_have_run(Reason::OwnerChanged, message))
            }
            Authority::PastHorizon | Authority::NotOwner { .. } => {
                let message =
                    format!("{} does not decide for this id at present.", self.options.node);
                let refusal = Refusal::may_have_run(Reason::NotOwner, message);
                Err(refusal.with_retry_after(OWNER_RETRY_DELAY))
            }
            Authority::FromFuture => {
                let message = format!(
                    "The id was made at {} ms, which lies in the future; check the caller's clock.",
                    id.created_at().as_millis()
                );
                Err(Refusal::may_have_run(Reason::Invalid, message))
            }
        }
    }

    fn refuse_over_quota(&mut self, from: ReplyTo, run: &Run) {
        let message = format!("Team {:?} has used up its quota.", run.team);
        let refusal = Refusal::not_run(Proof::owner_never_started(), Reason::OverQuota, message)
            .with_retry_after(Duration::from_secs(1));
        self.ledger.refuse(run.id, run.attempt, refusal.clone(), self.now);
        self.refuse(from, run.id, refusal);
    }

    /// Accepts a request and places it.
    pub(crate) fn accept(&mut self, from: ReplyTo, run: Run, origin: Origin) {
        let Some(config) = self.state.config.clone() else { return };
        let inventory = &config.inventory;
        let kind = inventory.kind(&run.service, &run.kind);
        let urgency = kind.and_then(|kind| inventory.urgency(&kind.urgency));
        let configured = kind.map(|kind| Duration::from_millis(kind.run_ms));
        let expected = self.router.expected_run_time(
            &run.service,
            &run.kind,
            run.declared.or(configured),
            self.now,
        );
        let id = run.id;
        let request = Request {
            deadline: self.now + run.budget,
            expected,
            rank: urgency.map_or(u8::MAX, |urgency| urgency.rank),
            run,
            origin,
            stage: Stage::Queued,
            waiters: vec![from],
            entry_waiters: Vec::new(),
            tried: Vec::new(),
            started: Timestamp::ZERO,
        };
        let key = self.requests.insert(request);
        self.by_id.insert(id, key);
        self.place(key);
    }

    /// Adds a waiter to the request with this id; false if none is in progress here.
    pub(crate) fn attach(&mut self, from: ReplyTo, id: RequestId) -> bool {
        let Some(request) = self.by_id.get(&id).and_then(|key| self.requests.get_mut(*key)) else {
            return false;
        };
        request.waiters.push(from);
        self.record_attach(id);
        true
    }

    /// Like [`Agent::attach`], for a call from an entry.
    fn attach_entry(&mut self, from: ReplyTo, id: RequestId) -> bool {
        let Some(request) = self.by_id.get(&id).and_then(|key| self.requests.get_mut(*key)) else {
            return false;
        };
        match request.origin {
            Origin::Owner | Origin::Idempotent => request.waiters.push(from),
            Origin::Delegate => request.entry_waiters.push(from),
        }
        self.record_attach(id);
        true
    }

    fn record_attach(&mut self, id: RequestId) {
        let detail = "The id is queued or running here already.";
        self.record_decision(Decision::new(id, Step::Attach, detail).with_node(self.options.node));
    }

    /// Records the outcome of a request and answers its waiters.
    pub(crate) fn finish(
        &mut self,
        key: RequestKey,
        outcome: Outcome,
        ran_on: Option<ident::NodeId>,
        run_time: Duration,
    ) {
        let Some(request) = self.requests.remove(key) else { return };
        self.by_id.remove(&request.run.id);
        match request.origin {
            Origin::Owner => self.ledger.finish(request.run.id, outcome.clone(), self.now),
            Origin::Delegate => {
                self.delegate_ledger.finish(request.run.id, outcome.clone(), self.now);
            }
            Origin::Idempotent => {}
        }
        self.reply_to_waiters(&request, outcome, ran_on, run_time);
    }

    /// Refuses a request that no endpoint has started.
    pub(crate) fn finish_refused(
        &mut self,
        key: RequestKey,
        reason: Reason,
        message: String,
        retry_after: Option<Duration>,
    ) {
        let Some(request) = self.requests.remove(key) else { return };
        self.by_id.remove(&request.run.id);
        let run = &request.run;
        let proof = match request.origin {
            Origin::Owner => Proof::owner_never_started(),
            Origin::Delegate | Origin::Idempotent => Proof::attempt_never_started(),
        };
        let mut refusal = Refusal::not_run(proof, reason, message);
        refusal.retry_after = retry_after;
        match request.origin {
            Origin::Owner => {
                self.ledger.refuse(run.id, run.attempt, refusal.clone(), self.now);
            }
            Origin::Delegate => {
                self.delegate_ledger.refuse(run.id, run.attempt, refusal.clone(), self.now);
            }
            Origin::Idempotent => {}
        }
        self.record_decision(Decision::refuse(run.id, &refusal));
        self.reply_to_waiters(&request, Outcome::Refused(refusal), None, Duration::ZERO);
    }

    fn reply_to_waiters(
        &mut self,
        request: &Request,
        outcome: Outcome,
        ran_on: Option<ident::NodeId>,
        run_time: Duration,
    ) {
        let load = self.load();
        for to in &request.waiters {
            let reply = RunReply { outcome: outcome.clone(), ran_on, run_time, load };
            self.reply(*to, Reply::Run(reply));
        }
        let outcome = match outcome {
            Outcome::Done(answer) => Outcome::Done(answer),
            Outcome::Refused(refusal) => Outcome::Refused(refusal.weaken()),
        };
        for to in &request.entry_waiters {
            let reply = RunReply { outcome: outcome.clone(), ran_on, run_time, load };
            self.reply(*to, Reply::Run(reply));
        }
    }

    fn repeat_outcome(&mut self, to: ReplyTo, id: RequestId, outcome: Outcome) {
        let repeat = Decision::new(id, Step::Repeat, "The id has its outcome already.");
        let verdict = Some(outcome.verdict());
        self.record_decision(Decision { verdict, ..repeat.with_node(self.options.node) });
        self.reply_outcome(to, outcome);
    }

    pub(crate) fn refuse(&mut self, to: ReplyTo, id: RequestId, refusal: Refusal) {
        self.record_decision(Decision::refuse(id, &refusal));
        self.reply_outcome(to, Outcome::Refused(refusal));
    }

    pub(crate) fn reply_outcome(&mut self, to: ReplyTo, outcome: Outcome) {
        let load = self.load();
        let run_time = Duration::ZERO;
        self.reply(to, Reply::Run(RunReply { outcome, ran_on: None, run_time, load }));
    }

    /// Reports the status of a request.
    pub(crate) fn on_ask(&mut self, from: ReplyTo, id: RequestId) {
        let status = self.status(id);
        self.reply(from, Reply::Status(status));
    }

    /// Replies once a request that was handed on to this agent has ended, or at once
    /// if it is not in progress here.
    pub(crate) fn on_await(&mut self, from: ReplyTo, id: RequestId) {
        if self.attach(from, id) {
            return;
        }
        match self.status(id) {
            Status::Ended(outcome) => self.reply_outcome(from, outcome),
            status @ (Status::Unknown | Status::Running) => {
                self.reply(from, Reply::Status(status));
            }
        }
    }

    fn status(&self, id: RequestId) -> Status {
        if self.by_id.contains_key(&id) {
            return Status::Running;
        }
        let entry = self.ledger.get(id).or_else(|| self.delegate_ledger.get(id));
        match entry {
            Some(Entry::Finished(outcome)) => Status::Ended(outcome),
            Some(Entry::Running) => Status::Running,
            Some(Entry::Refused(_)) | None => Status::Unknown,
        }
    }

    /// Cancels a request that has not started and prevents any later start of its id;
    /// a running request continues.
    pub(crate) fn on_cancel(&mut self, from: ReplyTo, id: RequestId) {
        if let Some(key) = self.by_id.get(&id).copied() {
            return self.cancel_held(from, id, key);
        }
        if self.jobs.status(id).is_some() {
            return self.cancel_job(from, id);
        }
        if self.tenure.decide(id, self.now) != Authority::Owner {
            return self.on_ask(from, id);
        }
        let status = match self.ledger.cancel(id, self.now) {
            CancelResult::NotStarted => Status::Ended(Outcome::Refused(cancelled_refusal())),
            CancelResult::Running => Status::Running,
            CancelResult::Finished(outcome) => Status::Ended(outcome),
        };
        self.record_cancel(id, "The cancellation was recorded.");
        self.reply(from, Reply::Status(status));
    }

    /// Cancels a request in progress if it is queued here. One that runs here is not
    /// stopped; if it was handed on, the cancellation is sent to the delegate.
    fn cancel_held(&mut self, from: ReplyTo, id: RequestId, key: RequestKey) {
        let request = &self.requests[key];
        match request.stage {
            Stage::Queued => {
                let origin = request.origin;
                self.queue.remove(key);
                self.record_cancel(id, "The request was still queued.");
                self.finish_refused(key, Reason::Cancelled, CANCELLED_MESSAGE.to_owned(), None);
                let status = match origin {
                    Origin::Owner => {
                        self.ledger.cancel(id, self.now);
                        Status::Ended(Outcome::Refused(cancelled_refusal()))
                    }
                    Origin::Idempotent => Status::Ended(Outcome::Refused(cancelled_refusal())),
                    // The owner decides, and may place the request elsewhere.
                    Origin::Delegate => Status::Running,
                };
                self.reply(from, Reply::Status(status));
            }
            Stage::Running => {
                self.record_cancel(id, "The request runs already and will finish.");
                self.reply(from, Reply::Status(Status::Running));
            }
            Stage::HandedOn(node) => {
                self.record_cancel(id, "The cancellation was passed on.");
                self.call(Pending::Notice, node, Call::Cancel(Cancel { id }), NOTICE_TIMEOUT);
                self.reply(from, Reply::Status(Status::Running));
            }
        }
    }

    fn record_cancel(&mut self, id: RequestId, detail: &str) {
        let cancel = Decision::new(id, Step::Cancel, detail).with_node(self.options.node);
        self.record_decision(Decision { reason: Some(Reason::Cancelled), ..cancel });
    }

    pub(crate) fn call(
        &mut self,
        pending: Pending,
        node: ident::NodeId,
        call: Call,
        timeout: Duration,
    ) {
        let token = crate::call_token(self.calls.insert(pending));
        self.effects.push(Effect::CallPeer { token, node, call, timeout });
    }

    /// Removes ledger entries older than the window, once a second.
    pub(crate) fn expire_ledgers(&mut self) {
        const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
        if self.now < self.expiry_due {
            return;
        }
        self.expiry_due = self.now + EXPIRE_INTERVAL;
        self.ledger.expire(self.now);
        self.delegate_ledger.expire(self.now);
    }
}

/// Message of the refusal of a cancelled request.
const CANCELLED_MESSAGE: &str = "The request was cancelled before it started.";

fn cancelled_refusal() -> Refusal {
    Refusal::not_run(Proof::owner_never_started(), Reason::Cancelled, CANCELLED_MESSAGE)
}
