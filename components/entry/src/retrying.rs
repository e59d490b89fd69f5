//! Results of attempts, retries and deadlines.
//!
//! The entry is the only layer that retries a request. Resending it to the owner
//! of its id is always safe, as the owner discards duplicates. An idempotent
//! request may go to any agent.

use std::time::Duration;

use ident::{NodeId, Timestamp};
use node::LinkError;
use retry::backoff;
use routing::{Sample, SampleOutcome};
use verdict::{Outcome, Reason, Refusal, Verdict};
use wire::{Call, Cancel, JobStatus, Reply};

use crate::{
    Entry,
    request::{Due, Payload, Pending, RequestKey, Route, Timer},
};

/// Maximum number of attempts per request.
pub const MAX_ATTEMPTS: u32 = 6;

/// Retry delay for callers when an agent is unreachable.
const OWNER_RETRY: Duration = Duration::from_millis(1500);

/// Timeout of a call whose reply does not matter.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of an attempt.
enum Ended {
    /// The agent replied with an outcome.
    Outcome(Outcome),
    /// Nothing was sent.
    NotSent,
    /// The call may have arrived.
    Lost,
}

impl Entry {
    /// Handles the end of an attempt.
    pub(crate) fn on_attempt_ended(
        &mut self,
        key: RequestKey,
        node: NodeId,
        sent: Timestamp,
        reply: Result<Reply, LinkError>,
    ) {
        self.observe(key, node, sent, &reply);
        let Some(request) = self.requests.get_mut(key) else { return };
        if let Some(index) = request.open.iter().position(|it| *it == node) {
            request.open.swap_remove(index);
        }
        let ran_on = match &reply {
            Ok(Reply::Run(run)) => run.ran_on,
            _ => None,
        };
        match ended(reply) {
            Ended::Outcome(outcome) => self.on_outcome(key, outcome, ran_on),
            Ended::NotSent => self.on_not_sent(key, node),
            Ended::Lost => {
                request.doubt = true;
                self.on_lost(key, node);
            }
        }
    }

    fn observe(
        &mut self,
        key: RequestKey,
        node: NodeId,
        sent: Timestamp,
        reply: &Result<Reply, LinkError>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let (outcome, run_time, load) = match reply {
            Ok(Reply::Run(run)) => (sample_outcome(&run.outcome), run.run_time, Some(run.load)),
            Ok(_) => (SampleOutcome::Healthy, Duration::ZERO, None),
            Err(_) => (SampleOutcome::Lost, Duration::ZERO, None),
        };
        let sample = Sample {
            kind: request.kind(),
            declared: request.declared(),
            expected: request.expected,
            sent_at: sent,
            run_time,
            outcome,
            load,
        };
        self.router.on_reply(node, &sample, self.now);
    }

    fn on_outcome(&mut self, key: RequestKey, outcome: Outcome, ran_on: Option<NodeId>) {
        let route = self.requests[key].route;
        match &outcome {
            Outcome::Done(answer) if answer.status >= 500 && route == Route::Any => {
                if !self.retry_idempotent(key) {
                    self.end(key, outcome, ran_on);
                }
            }
            Outcome::Done(_) => self.end(key, outcome, ran_on),
            Outcome::Refused(refusal) => match (route, refusal.reason) {
                (Route::Any, _) => self.on_refused_any(key, refusal.clone()),
                (Route::Owner | Route::Minted, Reason::NotOwner | Reason::NotConfigured) => {
                    self.on_not_owner(key, refusal.clone());
                }
                (Route::Owner | Route::Minted, _) => self.end(key, outcome, ran_on),
            },
        }
    }

    fn on_refused_any(&mut self, key: RequestKey, refusal: Refusal) {
        let request = &mut self.requests[key];
        match refusal.verdict() {
            Verdict::NotRun => {}
            Verdict::MayHaveRun | Verdict::Done => request.doubt = true,
        }
        request.refusal = Some(refusal.clone());
        let is_leaving = refusal.reason == Reason::NoEndpoint;
        let again = match refusal.verdict() == Verdict::NotRun && is_leaving {
            true => self.route_again(key),
            false => self.retry_idempotent(key),
        };
        if !again {
            let request = &self.requests[key];
            let weaken = request.chosen || request.doubt || !request.open.is_empty();
            self.end_refused(key, if weaken { refusal.weaken() } else { refusal });
        }
    }

    /// Retries an idempotent request on another agent within the retry budget; true
    /// if another attempt is in flight or the request was routed again.
    fn retry_idempotent(&mut self, key: RequestKey) -> bool {
        let request = &self.requests[key];
        if !request.open.is_empty() {
            return true;
        }
        self.budget.try_spend(self.now) && self.route_again(key)
    }

    /// Sends a request that an agent declined to another one. Nothing ran, so the
    /// retry budget is not charged here.
    fn route_again(&mut self, key: RequestKey) -> bool {
        let request = &self.requests[key];
        if !request.open.is_empty() {
            return true;
        }
        if request.attempts >= MAX_ATTEMPTS {
            return false;
        }
        self.route(key);
        true
    }

    /// Refreshes the table of owners and retries, as the agent does not own the id.
    fn on_not_owner(&mut self, key: RequestKey, refusal: Refusal) {
        self.effects.push(node::Effect::Refresh { peer: None });
        let request = &mut self.requests[key];
        request.refusal = Some(refusal);
        match request.route {
            Route::Minted if !request.doubt => self.route_elsewhere(key),
            Route::Minted | Route::Owner | Route::Any => self.retry_later(key),
        }
    }

    fn on_not_sent(&mut self, key: RequestKey, node: NodeId) {
        let request = &self.requests[key];
        match request.route {
            Route::Any => {
                if !self.retry_idempotent(key) {
                    let message = format!("{node} cannot be reached.");
                    let refusal = self.unsent_refusal(key, Reason::NoEndpoint, message);
                    self.end_refused(key, refusal.with_retry_after(OWNER_RETRY));
                }
            }
            Route::Minted if !request.doubt => self.route_elsewhere(key),
            Route::Minted | Route::Owner => self.retry_later(key),
        }
    }

    fn on_lost(&mut self, key: RequestKey, node: NodeId) {
        match self.requests[key].route {
            Route::Any => {
                if !self.retry_idempotent(key) {
                    let message = format!("The connection to {node} was lost.");
                    let refusal = Refusal::may_have_run(Reason::ConnectionLost, message);
                    self.end_refused(key, refusal);
                }
            }
            Route::Owner | Route::Minted => self.retry_later(key),
        }
    }

    /// Routes a request under a new id, as no agent can have started the last one.
    fn route_elsewhere(&mut self, key: RequestKey) {
        match self.requests[key].attempts < MAX_ATTEMPTS {
            true => self.route(key),
            false => self.give_up_on_owner(key),
        }
    }

    /// Schedules a retry after a backoff.
    fn retry_later(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        let pause = backoff(request.attempts, &mut self.rng);
        let at = self.now + pause;
        if request.attempts >= MAX_ATTEMPTS || at >= request.deadline {
            return self.give_up_on_owner(key);
        }
        self.timers.insert(Timer { at, request: key, due: Due::Retry });
    }

    /// Refuses a request whose owner cannot be reached.
    pub(crate) fn give_up_on_owner(&mut self, key: RequestKey) {
        let message = "The owner of the id cannot be reached.".to_owned();
        let refusal = self.unsent_refusal(key, Reason::NotOwner, message);
        self.end_refused(key, refusal.with_retry_after(OWNER_RETRY));
    }

    /// Fires the due timers.
    pub(crate) fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.first().copied() {
            if timer.at > self.now {
                return;
            }
            self.timers.pop_first();
            if !self.requests.contains_key(timer.request) {
                continue;
            }
            match timer.due {
                Due::Retry => self.retry_owner(timer.request),
                Due::Hedge => self.hedge(timer.request),
                Due::Deadline => self.miss_deadline(timer.request),
            }
        }
    }

    fn retry_owner(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        match request.route {
            Route::Minted => {
                let node = request.tried.last().copied();
                if let Some(node) = node {
                    self.send(key, node, Vec::new());
                }
            }
            Route::Owner | Route::Any => self.route(key),
        }
    }

    fn miss_deadline(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        let id = request.id();
        let is_run = matches!(request.payload, Payload::Run(_));
        for node in request.open.clone() {
            let cancel = if is_run { Call::Cancel(Cancel { id }) } else { continue };
            self.call(Pending::Notice, node, cancel, NOTICE_TIMEOUT);
        }
        let message = "The deadline passed before an answer came.".to_owned();
        let refusal = self.unsent_refusal(key, Reason::TimedOut, message);
        self.end_refused(key, refusal);
    }
}

fn ended(reply: Result<Reply, LinkError>) -> Ended {
    match reply {
        Ok(Reply::Run(run)) => Ended::Outcome(run.outcome),
        Ok(Reply::Job(JobStatus::Ended(outcome))) => Ended::Outcome(outcome),
        Ok(Reply::Job(JobStatus::Running { .. }))
        | Ok(Reply::Status(_) | Reply::Task(_) | Reply::State(_) | Reply::Ack)
        | Err(LinkError::Lost) => Ended::Lost,
        Err(LinkError::NotSent) => Ended::NotSent,
    }
}

fn sample_outcome(outcome: &Outcome) -> SampleOutcome {
    match outcome {
        Outcome::Done(answer) if answer.status >= 500 => SampleOutcome::Failed,
        Outcome::Done(_) => SampleOutcome::Healthy,
        Outcome::Refused(refusal) => match refusal.verdict() {
            Verdict::NotRun => SampleOutcome::Refused,
            Verdict::MayHaveRun | Verdict::Done => SampleOutcome::Lost,
        },
    }
}
