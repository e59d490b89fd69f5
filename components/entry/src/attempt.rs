//! Results of attempts, retries and deadlines.
//!
//! The entry is the only layer that retries a request. Resending it to the owner
//! of its id is always safe, as the owner discards duplicates. An idempotent
//! request may go to any agent.

use std::time::Duration;

use ident::{NodeId, Timestamp};
use node::LinkError;
use retry::backoff;
use routing::{RequestOutcome, RequestResult};
use verdict::{Outcome, Reason, Refusal, Verdict};
use wire::{Call, Cancel, JobStatus, Reply};

use crate::{
    Entry,
    request::{Payload, Pending, RequestKey, Route, Timer, TimerKind},
};

/// Maximum number of attempts per request, including the first one and hedges; an owner may be tried
/// again until the deadline.
pub const MAX_ATTEMPTS: u32 = 6;

/// Retry delay for callers when an agent is unreachable.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Timeout of a call whose reply does not matter.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of an attempt.
enum AttemptResult {
    /// The agent replied with an outcome.
    Outcome(Outcome),
    /// Nothing was sent.
    NotSent,
    /// The call may have arrived.
    Lost,
}

impl Entry {
    /// Handles the end of an attempt: finishes the request or tries it again.
    pub(crate) fn on_attempt_ended(
        &mut self,
        key: RequestKey,
        node: NodeId,
        sent: Timestamp,
        reply: Result<Reply, LinkError>,
    ) {
        self.record_result(key, node, sent, &reply);
        let Some(request) = self.requests.get_mut(key) else { return };
        if let Some(index) = request.in_flight.iter().position(|it| *it == node) {
            request.in_flight.swap_remove(index);
        }
        let ran_on = match &reply {
            Ok(Reply::Run(run)) => run.ran_on,
            _ => None,
        };
        match attempt_result(reply) {
            AttemptResult::Outcome(outcome) => self.on_outcome(key, outcome, ran_on),
            AttemptResult::NotSent => self.on_not_sent(key, node),
            AttemptResult::Lost => {
                request.uncertain = true;
                self.on_lost(key, node);
            }
        }
    }

    fn record_result(
        &mut self,
        key: RequestKey,
        node: NodeId,
        sent: Timestamp,
        reply: &Result<Reply, LinkError>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let (outcome, run_time, load) = match reply {
            Ok(Reply::Run(run)) => (request_outcome(&run.outcome), run.run_time, Some(run.load)),
            Ok(_) => (RequestOutcome::Healthy, Duration::ZERO, None),
            Err(_) => (RequestOutcome::Lost, Duration::ZERO, None),
        };
        let request_result = RequestResult {
            kind: request.kind(),
            declared: request.declared(),
            expected: request.expected,
            sent_at: sent,
            run_time,
            outcome,
            load,
        };
        self.router.on_reply(node, &request_result, self.now);
    }

    fn on_outcome(&mut self, key: RequestKey, outcome: Outcome, ran_on: Option<NodeId>) {
        let route = self.requests[key].route;
        match &outcome {
            Outcome::Done(answer) if answer.status >= 500 && route == Route::Any => {
                if !self.retry_idempotent(key) {
                    self.finish(key, outcome, ran_on);
                }
            }
            Outcome::Done(_) => self.finish(key, outcome, ran_on),
            Outcome::Refused(refusal) => match (route, refusal.reason) {
                (Route::Any, _) => self.on_refused_any(key, refusal.clone()),
                (Route::Owner | Route::Generated, Reason::NotOwner | Reason::NotConfigured) => {
                    self.on_not_owner(key, refusal.clone());
                }
                (Route::Owner | Route::Generated, _) => self.finish(key, outcome, ran_on),
            },
        }
    }

    fn on_refused_any(&mut self, key: RequestKey, refusal: Refusal) {
        let request = &mut self.requests[key];
        match refusal.verdict() {
            Verdict::NotRun => {}
            Verdict::MayHaveRun | Verdict::Done => request.uncertain = true,
        }
        request.refusal = Some(refusal.clone());
        let has_no_endpoint = refusal.reason == Reason::NoEndpoint;
        let retried = match refusal.verdict() == Verdict::NotRun && has_no_endpoint {
            true => self.route_again(key),
            false => self.retry_idempotent(key),
        };
        if !retried {
            let request = &self.requests[key];
            let may_have_run =
                request.id_chosen || request.uncertain || !request.in_flight.is_empty();
            self.finish_refused(key, if may_have_run { refusal.weaken() } else { refusal });
        }
    }

    /// Retries an idempotent request on another agent within the retry budget; true
    /// if another attempt is in flight or the request was routed again.
    fn retry_idempotent(&mut self, key: RequestKey) -> bool {
        let request = &self.requests[key];
        if !request.in_flight.is_empty() {
            return true;
        }
        self.retry_budget.try_spend(self.now) && self.route_again(key)
    }

    /// Routes a request once more without charging the retry budget. Returns false if
    /// its attempts are used up, and true if it was routed or another attempt is in
    /// flight. Called directly only if an agent declined the request, as nothing ran.
    fn route_again(&mut self, key: RequestKey) -> bool {
        let request = &self.requests[key];
        if !request.in_flight.is_empty() {
            return true;
        }
        if request.attempts >= MAX_ATTEMPTS {
            return false;
        }
        self.route(key);
        true
    }

    /// Refreshes the table of owners and retries, as the agent may not decide for the id.
    fn on_not_owner(&mut self, key: RequestKey, refusal: Refusal) {
        self.effects.push(node::Effect::Refresh { peer: None });
        let request = &mut self.requests[key];
        request.refusal = Some(refusal);
        match request.route {
            Route::Generated if !request.uncertain => self.route_new_id(key),
            Route::Generated | Route::Owner | Route::Any => self.schedule_retry(key),
        }
    }

    fn on_not_sent(&mut self, key: RequestKey, node: NodeId) {
        let request = &self.requests[key];
        match request.route {
            Route::Any => {
                if !self.retry_idempotent(key) {
                    let message = format!("{node} cannot be reached.");
                    let refusal = self.request_refusal(key, Reason::NoEndpoint, message);
                    self.finish_refused(key, refusal.with_retry_after(UNREACHABLE_RETRY_DELAY));
                }
            }
            Route::Generated if !request.uncertain => self.route_new_id(key),
            Route::Generated | Route::Owner => self.schedule_retry(key),
        }
    }

    fn on_lost(&mut self, key: RequestKey, node: NodeId) {
        match self.requests[key].route {
            Route::Any => {
                if !self.retry_idempotent(key) {
                    let message = format!("The connection to {node} was lost.");
                    let refusal = Refusal::may_have_run(Reason::ConnectionLost, message);
                    self.finish_refused(key, refusal);
                }
            }
            Route::Owner | Route::Generated => self.schedule_retry(key),
        }
    }

    /// Routes a request under a new id, as no agent can have started the previous one.
    fn route_new_id(&mut self, key: RequestKey) {
        match self.requests[key].attempts < MAX_ATTEMPTS {
            true => self.route(key),
            false => self.refuse_unreachable(key),
        }
    }

    /// Schedules a retry at the owner after a backoff, unless the deadline comes first.
    ///
    /// The number of attempts is no limit: while its agent is replaced an owner is out of reach for
    /// longer than all backoffs of a few attempts together. Once the agent is gone, the next one
    /// is refused.
    fn schedule_retry(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        let delay = backoff(request.attempts, &mut self.rng);
        let at = self.now + delay;
        if at >= request.deadline {
            return self.refuse_unreachable(key);
        }
        self.timers.insert(Timer { at, request: key, kind: TimerKind::Retry });
    }

    /// Refuses a request whose owner cannot be reached.
    pub(crate) fn refuse_unreachable(&mut self, key: RequestKey) {
        let message = "The owner of the id cannot be reached.".to_owned();
        let refusal = self.request_refusal(key, Reason::NotOwner, message);
        self.finish_refused(key, refusal.with_retry_after(UNREACHABLE_RETRY_DELAY));
    }

    /// Performs the actions of the timers that are due.
    pub(crate) fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.first().copied() {
            if timer.at > self.now {
                return;
            }
            self.timers.pop_first();
            if !self.requests.contains_key(timer.request) {
                continue;
            }
            match timer.kind {
                TimerKind::Retry => self.retry(timer.request),
                TimerKind::Hedge => self.hedge(timer.request),
                TimerKind::Deadline => self.on_deadline(timer.request),
            }
        }
    }

    fn retry(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        match request.route {
            Route::Generated => {
                let node = request.tried.last().copied();
                if let Some(node) = node {
                    self.send(key, node, Vec::new());
                }
            }
            Route::Owner | Route::Any => self.route(key),
        }
    }

    fn on_deadline(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        let id = request.id();
        let is_run = matches!(request.payload, Payload::Run(_));
        for node in request.in_flight.clone() {
            let cancel = if is_run { Call::Cancel(Cancel { id }) } else { continue };
            self.call(Pending::Notice, node, cancel, NOTICE_TIMEOUT);
        }
        let message = "The deadline passed before an answer came.".to_owned();
        let refusal = self.request_refusal(key, Reason::TimedOut, message);
        self.finish_refused(key, refusal);
    }
}

fn attempt_result(reply: Result<Reply, LinkError>) -> AttemptResult {
    match reply {
        Ok(Reply::Run(run)) => AttemptResult::Outcome(run.outcome),
        Ok(Reply::Job(JobStatus::Ended(outcome))) => AttemptResult::Outcome(outcome),
        Ok(Reply::Job(JobStatus::Running { .. }))
        | Ok(Reply::Status(_) | Reply::Task(_) | Reply::State(_) | Reply::Ack)
        | Err(LinkError::Lost) => AttemptResult::Lost,
        Err(LinkError::NotSent) => AttemptResult::NotSent,
    }
}

fn request_outcome(outcome: &Outcome) -> RequestOutcome {
    match outcome {
        Outcome::Done(answer) if answer.status >= 500 => RequestOutcome::Failed,
        Outcome::Done(_) => RequestOutcome::Healthy,
        Outcome::Refused(refusal) => match refusal.verdict() {
            Verdict::NotRun => RequestOutcome::Refused,
            Verdict::MayHaveRun | Verdict::Done => RequestOutcome::Lost,
        },
    }
}
