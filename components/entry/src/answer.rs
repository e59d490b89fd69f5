//! Final replies to callers.

use ident::{NodeId, RequestId};
use node::{CallerReply, CallerToken, Decision, Effect};
use verdict::{Outcome, Refusal};
use wire::JobStatus;

use crate::{
    Entry,
    request::{Payload, RequestKey},
};

impl Entry {
    /// Sends the outcome to the caller and removes the request.
    pub(crate) fn finish(&mut self, key: RequestKey, outcome: Outcome, ran_on: Option<NodeId>) {
        let Some(request) = self.requests.remove(key) else { return };
        self.by_token.remove(&request.token);
        let id = request.id();
        let reply = match request.payload {
            Payload::Run(_) => CallerReply::Outcome { id: Some(id), outcome, ran_on },
            Payload::Job(_) => CallerReply::Job { id, status: JobStatus::Ended(outcome) },
        };
        self.effects.push(Effect::Respond { token: request.token, reply });
    }

    /// Refuses the request and removes it.
    pub(crate) fn finish_refused(&mut self, key: RequestKey, refusal: Refusal) {
        let id = self.requests[key].id();
        self.record_decision(Decision::refuse(id, &refusal));
        self.finish(key, Outcome::Refused(refusal), None);
    }

    /// Refuses a request that a filter rejected.
    pub(crate) fn respond_refused(
        &mut self,
        token: CallerToken,
        id: Option<RequestId>,
        refusal: Refusal,
    ) {
        if let Some(id) = id {
            self.record_decision(Decision::refuse(id, &refusal));
        }
        let outcome = Outcome::Refused(refusal);
        let reply = CallerReply::Outcome { id, outcome, ran_on: None };
        self.effects.push(Effect::Respond { token, reply });
    }

    /// Removes the request of a caller that closed its connection. The agent still
    /// completes it, so a resubmission under the same id gets the outcome.
    pub(crate) fn on_caller_gone(&mut self, token: CallerToken) {
        if let Some(key) = self.by_token.remove(&token) {
            self.requests.remove(key);
        }
    }
}
