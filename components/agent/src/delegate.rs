//! Handing on of requests from their owner to a delegate.
//!
//! An owner may forward a request to another agent of its group, the delegate,
//! which runs it. The owner stays responsible for the id and answers the entry.

use std::time::Duration;

use ident::{NodeId, Timestamp};
use ledger::Admission;
use mutation::{Mechanism, is_disabled};
use node::{CallToken, LinkError, ReplyTo};
use routing::{RequestOutcome, RequestResult};
use verdict::{Outcome, Proof, Reason, Refusal, Verdict};
use wire::{Call, Reply, Run, RunReply, Status};

use crate::{
    Agent, call_key,
    place::run_timeout,
    request::{Origin, Pending, RequestKey},
};

/// Status queries to an unresponsive delegate before the request counts as lost.
const MAX_QUERIES: u32 = 3;

impl Agent {
    /// Runs a request that its owner has handed on to this agent.
    pub(crate) fn on_execute(&mut self, from: ReplyTo, run: Run) {
        if self.attach(from, run.id) {
            return;
        }
        if !self.accepts_work() {
            let message = format!("{} takes no new requests.", self.options.node);
            let proof = Proof::attempt_never_started();
            let refusal = Refusal::not_run(proof, Reason::NoEndpoint, message);
            return self.refuse(from, run.id, refusal);
        }
        match self.delegate_ledger.admit(run.id, run.attempt, run.submitted, self.now) {
            Admission::Start => self.accept(from, run, Origin::Delegate),
            Admission::Attach => self.reply(from, Reply::Status(Status::Unknown)),
            Admission::Repeat(outcome) => self.reply_outcome(from, outcome),
            Admission::Refused(refusal) => self.refuse(from, run.id, refusal),
        }
    }

    /// Handles the reply to a call to a peer.
    pub(crate) fn on_peer_replied(&mut self, token: CallToken, reply: Result<Reply, LinkError>) {
        let Some(pending) = self.calls.remove(call_key(token)) else { return };
        match pending {
            Pending::HandOn { request, node, sent, queries } => {
                self.on_hand_on_reply(request, node, sent, queries, reply);
            }
            Pending::Task { job, index, node } => self.on_task_reply(job, index, node, reply),
            Pending::HandOver { to, attempts } => self.on_hand_over_reply(to, attempts, &reply),
            Pending::Notice => {}
        }
    }

    fn on_hand_on_reply(
        &mut self,
        key: RequestKey,
        node: NodeId,
        sent: Timestamp,
        queries: u32,
        reply: Result<Reply, LinkError>,
    ) {
        match reply {
            Ok(Reply::Run(reply)) => self.on_delegate_reply(key, node, sent, reply),
            Err(LinkError::NotSent) if queries == 0 => self.place_elsewhere(key, node, sent),
            Ok(Reply::Status(Status::Unknown)) => self.refuse_lost(key, node, sent),
            Ok(_) | Err(LinkError::Lost | LinkError::NotSent) => {
                self.query_delegate(key, node, sent, queries);
            }
        }
    }

    fn on_delegate_reply(
        &mut self,
        key: RequestKey,
        node: NodeId,
        sent: Timestamp,
        reply: RunReply,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let request_outcome = match &reply.outcome {
            Outcome::Done(answer) if answer.status >= 500 => RequestOutcome::Failed,
            Outcome::Done(_) => RequestOutcome::Healthy,
            Outcome::Refused(refusal) => match refusal.verdict() {
                Verdict::NotRun => RequestOutcome::Refused,
                Verdict::MayHaveRun | Verdict::Done => RequestOutcome::Lost,
            },
        };
        let request_result = RequestResult {
            kind: &request.run.kind,
            declared: request.run.declared,
            expected: request.expected,
            sent_at: sent,
            run_time: reply.run_time,
            outcome: request_outcome,
            load: Some(reply.load),
        };
        self.router.on_reply(node, &request_result, self.now);
        match reply.outcome.verdict() {
            Verdict::NotRun => {
                let request = &mut self.requests[key];
                request.tried.push(node);
                self.place(key);
            }
            Verdict::MayHaveRun | Verdict::Done => {
                self.finish(key, reply.outcome, reply.ran_on, reply.run_time);
            }
        }
    }

    fn place_elsewhere(&mut self, key: RequestKey, node: NodeId, sent: Timestamp) {
        self.record_failure(key, node, sent, RequestOutcome::Lost);
        let Some(request) = self.requests.get_mut(key) else { return };
        request.tried.push(node);
        self.place(key);
    }

    fn record_failure(
        &mut self,
        key: RequestKey,
        node: NodeId,
        sent: Timestamp,
        outcome: RequestOutcome,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let request_result = RequestResult {
            kind: &request.run.kind,
            declared: request.run.declared,
            expected: request.expected,
            sent_at: sent,
            run_time: Duration::ZERO,
            outcome,
            load: None,
        };
        self.router.on_reply(node, &request_result, self.now);
    }

    /// Queries an unresponsive delegate by id over a new connection. The request
    /// itself is never sent twice, as the delegate may have started it.
    fn query_delegate(&mut self, key: RequestKey, node: NodeId, sent: Timestamp, queries: u32) {
        if queries >= MAX_QUERIES {
            return self.refuse_lost(key, node, sent);
        }
        let Some(request) = self.requests.get(key) else { return };
        let id = request.run.id;
        let timeout = run_timeout(request.expected, request.deadline.since(self.now));
        let pending = Pending::HandOn { request: key, node, sent, queries: queries + 1 };
        let call = match is_disabled(Mechanism::DelegateQuery) {
            false => Call::Await(id),
            true => Call::Execute(request.run.clone()),
        };
        self.call(pending, node, call, timeout);
    }

    fn refuse_lost(&mut self, key: RequestKey, node: NodeId, sent: Timestamp) {
        self.record_failure(key, node, sent, RequestOutcome::Lost);
        let message = format!("{node} was given the request and has been lost; it may have run.");
        let refusal = Refusal::may_have_run(Reason::ConnectionLost, message);
        self.finish(key, Outcome::Refused(refusal), Some(node), Duration::ZERO);
    }
}
