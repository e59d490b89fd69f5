//! Requests for ids that this agent owns, and questions about them.

use std::time::Duration;

use ident::{RequestId, Timestamp};
use ledger::{Admit, Cancelled, Entry};
use node::{Decision, Effect, ReplyTo, Step};
use tenure::{Authority, PROMISE_TERM};
use verdict::{Outcome, Proof, Reason, Refusal};
use wire::{Call, Cancel, Reply, Run, RunReply, Status};

use crate::{
    Agent,
    awaiting::Asked,
    parking::ParkedCall,
    work::{NOTICE_TIMEOUT, Origin, Pending, Stage, Work, WorkKey},
};

/// Time after which a caller may try again when ownership is in doubt.
const OWNER_RETRY: Duration = PROMISE_TERM;

impl Agent {
    /// Decides whether a request may start.
    pub(crate) fn on_run(&mut self, from: ReplyTo, run: Run) {
        if self.attach(from, run.id) {
            return;
        }
        let Some(config) = self.state.config.clone() else {
            let message = "This agent has no configuration yet; try again shortly.";
            let refusal = Refusal::may_have_run(Reason::NotConfigured, message);
            return self.refuse(from, run.id, refusal.with_retry_after(OWNER_RETRY));
        };
        let Some(kind) = config.inventory.kind(&run.service, &run.kind) else {
            let message = format!("{}/{} is not a request kind in force.", run.service, run.kind);
            return self.refuse(from, run.id, Refusal::may_have_run(Reason::Unknown, message));
        };
        match kind.idempotent {
            true => self.begin(from, run, Origin::Idempotent),
            false => self.on_owned_run(from, run),
        }
    }

    fn on_owned_run(&mut self, from: ReplyTo, run: Run) {
        if let Some(Entry::Finished(outcome)) = self.ledger.get(run.id) {
            return self.repeat(from, run.id, outcome);
        }
        match self.must_wait(run.id) {
            true => self.park(from, ParkedCall::Run(Box::new(run))),
            false => self.decide_run(from, run),
        }
    }

    /// Decides about a request whose outcome is not known.
    pub(crate) fn decide_run(&mut self, from: ReplyTo, run: Run) {
        if let Err(refusal) = self.check_authority(run.id) {
            return self.refuse(from, run.id, refusal);
        }
        match self.ledger.admit(run.id, run.attempt, run.submitted, self.now) {
            Admit::Start if run.over_quota => self.refuse_over_quota(from, &run),
            Admit::Start => self.begin(from, run, Origin::Owner),
            Admit::Attach => self.await_predecessor(from, Asked::Request, run.id, run.budget),
            Admit::Repeat(outcome) => self.repeat(from, run.id, outcome),
            Admit::Refused(refusal) => self.refuse(from, run.id, refusal),
        }
    }

    /// Whether this agent decides for `id`, or what to answer if it does not.
    pub(crate) fn check_authority(&self, id: RequestId) -> Result<(), Refusal> {
        match self.tenure.decide(id, self.now) {
            Authority::Owner => Ok(()),
            Authority::BeforeTenure => {
                let message = "An earlier owner may have run this id, and its record is gone; \
                               send new work under a new id.";
                Err(Refusal::may_have_run(Reason::OwnerChanged, message))
            }
            Authority::PastHorizon | Authority::NotOwner { .. } => {
                let message = format!("{} does not decide for this id at present.", self.me.node);
                let refusal = Refusal::may_have_run(Reason::NotOwner, message);
                Err(refusal.with_retry_after(OWNER_RETRY))
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

    /// Takes a request in and finds a place for it.
    pub(crate) fn begin(&mut self, from: ReplyTo, run: Run, origin: Origin) {
        let Some(config) = self.state.config.clone() else { return };
        let inventory = &config.inventory;
        let kind = inventory.kind(&run.service, &run.kind);
        let urgency = kind.and_then(|kind| inventory.urgency(&kind.urgency));
        let known = kind.map(|kind| Duration::from_millis(kind.run_ms));
        let expected =
            self.router.expected(&run.service, &run.kind, run.declared.or(known), self.now);
        let id = run.id;
        let work = Work {
            deadline: self.now + run.budget,
            expected,
            rank: urgency.map_or(u8::MAX, |urgency| urgency.rank),
            run,
            origin,
            stage: Stage::Queued,
            waiters: vec![from],
            tried: Vec::new(),
            started: Timestamp::ZERO,
        };
        let key = self.works.insert(work);
        self.by_id.insert(id, key);
        self.place(key);
    }

    /// Lets one more caller wait for a request that is present here.
    pub(crate) fn attach(&mut self, from: ReplyTo, id: RequestId) -> bool {
        let Some(work) = self.by_id.get(&id).and_then(|key| self.works.get_mut(*key)) else {
            return false;
        };
        work.waiters.push(from);
        let detail = "The id is queued or running here already.";
        self.decide(Decision::new(id, Step::Attach, detail).on(self.me.node));
        true
    }

    /// Ends a request that is present here and answers everyone who waits.
    pub(crate) fn finish(
        &mut self,
        key: WorkKey,
        outcome: Outcome,
        ran_on: Option<ident::NodeId>,
        run_time: Duration,
    ) {
        let Some(work) = self.works.remove(key) else { return };
        self.by_id.remove(&work.run.id);
        match work.origin {
            Origin::Owner => self.ledger.finish(work.run.id, outcome.clone(), self.now),
            Origin::Delegate => self.delegated.finish(work.run.id, outcome.clone(), self.now),
            Origin::Idempotent => {}
        }
        self.answer(&work, outcome, ran_on, run_time);
    }

    /// Ends a request that no endpoint has started.
    pub(crate) fn give_up(
        &mut self,
        key: WorkKey,
        reason: Reason,
        message: String,
        retry_after: Option<Duration>,
    ) {
        let Some(work) = self.works.remove(key) else { return };
        self.by_id.remove(&work.run.id);
        let run = &work.run;
        let proof = match work.origin {
            Origin::Owner => Proof::owner_never_started(),
            Origin::Delegate | Origin::Idempotent => Proof::attempt_never_started(),
        };
        let mut refusal = Refusal::not_run(proof, reason, message);
        refusal.retry_after = retry_after;
        match work.origin {
            Origin::Owner => {
                self.ledger.refuse(run.id, run.attempt, refusal.clone(), self.now);
            }
            Origin::Delegate => {
                self.delegated.refuse(run.id, run.attempt, refusal.clone(), self.now);
            }
            Origin::Idempotent => {}
        }
        self.decide(Decision::refuse(run.id, &refusal));
        self.answer(&work, Outcome::Refused(refusal), None, Duration::ZERO);
    }

    fn answer(
        &mut self,
        work: &Work,
        outcome: Outcome,
        ran_on: Option<ident::NodeId>,
        run_time: Duration,
    ) {
        let load = self.load();
        for to in &work.waiters {
            let reply = RunReply { outcome: outcome.clone(), ran_on, run_time, load };
            self.reply(*to, Reply::Run(reply));
        }
    }

    fn repeat(&mut self, to: ReplyTo, id: RequestId, outcome: Outcome) {
        let repeat = Decision::new(id, Step::Repeat, "The id has its outcome already.");
        let verdict = Some(outcome.verdict());
        self.decide(Decision { verdict, ..repeat.on(self.me.node) });
        self.reply_outcome(to, outcome);
    }

    pub(crate) fn refuse(&mut self, to: ReplyTo, id: RequestId, refusal: Refusal) {
        self.decide(Decision::refuse(id, &refusal));
        self.reply_outcome(to, Outcome::Refused(refusal));
    }

    pub(crate) fn reply_outcome(&mut self, to: ReplyTo, outcome: Outcome) {
        let load = self.load();
        let run_time = Duration::ZERO;
        self.reply(to, Reply::Run(RunReply { outcome, ran_on: None, run_time, load }));
    }

    /// Tells what this agent knows of a request.
    pub(crate) fn on_ask(&mut self, from: ReplyTo, id: RequestId) {
        let status = self.status(id);
        self.reply(from, Reply::Status(status));
    }

    /// Answers when a request that was handed on to this agent has ended.
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
        let known = self.ledger.get(id).or_else(|| self.delegated.get(id));
        match known {
            Some(Entry::Finished(outcome)) => Status::Ended(outcome),
            Some(Entry::Running) => Status::Running,
            Some(Entry::Refused(_)) | None => Status::Unknown,
        }
    }

    /// Cancels a request that has not started; the id can then never start.
    pub(crate) fn on_cancel(&mut self, from: ReplyTo, id: RequestId) {
        if let Some(key) = self.by_id.get(&id).copied() {
            return self.cancel_present(from, id, key);
        }
        if self.jobs.status(id).is_some() {
            return self.cancel_job(from, id);
        }
        if self.tenure.decide(id, self.now) != Authority::Owner {
            return self.on_ask(from, id);
        }
        let status = match self.ledger.cancel(id, self.now) {
            Cancelled::NotSeen => Status::Ended(Outcome::Refused(cancelled())),
            Cancelled::Running => Status::Running,
            Cancelled::Finished(outcome) => Status::Ended(outcome),
        };
        self.decide_cancel(id, "The cancellation was recorded.");
        self.reply(from, Reply::Status(status));
    }

    fn cancel_present(&mut self, from: ReplyTo, id: RequestId, key: WorkKey) {
        let work = &self.works[key];
        match work.stage {
            Stage::Queued => {
                let origin = work.origin;
                self.queue.remove(key);
                self.decide_cancel(id, "The request was still queued.");
                self.give_up(key, Reason::Cancelled, CANCELLED.to_owned(), None);
                if origin == Origin::Owner {
                    self.ledger.cancel(id, self.now);
                }
                self.reply(from, Reply::Status(Status::Ended(Outcome::Refused(cancelled()))));
            }
            Stage::Running => {
                self.decide_cancel(id, "The request runs already and will finish.");
                self.reply(from, Reply::Status(Status::Running));
            }
            Stage::HandedOn(node) => {
                self.decide_cancel(id, "The cancellation was passed on.");
                self.call(Pending::Notice, node, Call::Cancel(Cancel { id }), NOTICE_TIMEOUT);
                self.reply(from, Reply::Status(Status::Running));
            }
        }
    }

    fn decide_cancel(&mut self, id: RequestId, detail: &str) {
        let cancel = Decision::new(id, Step::Cancel, detail).on(self.me.node);
        self.decide(Decision { reason: Some(Reason::Cancelled), ..cancel });
    }

    pub(crate) fn call(
        &mut self,
        pending: Pending,
        node: ident::NodeId,
        call: Call,
        timeout: Duration,
    ) {
        let token = crate::peer_token(self.calls.insert(pending));
        self.effects.push(Effect::CallPeer { token, node, call, timeout });
    }

    /// Forgets what is older than the window, once a second.
    pub(crate) fn expire(&mut self) {
        const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
        if self.now < self.expire_at {
            return;
        }
        self.expire_at = self.now + EXPIRE_INTERVAL;
        self.ledger.expire(self.now);
        self.delegated.expire(self.now);
    }
}

const CANCELLED: &str = "The request was cancelled before it started.";

fn cancelled() -> Refusal {
    Refusal::not_run(Proof::owner_never_started(), Reason::Cancelled, CANCELLED)
}
