//! Deferral of calls for ids that this agent owns but may not yet decide for.
//!
//! A new owner of a shard may not decide until its deputy has sent the first
//! promise. Calls that arrive earlier are deferred, so that the entry need not
//! retry them. They are refused if no promise arrives in time.

use std::time::Duration;

use ident::{RequestId, Timestamp};
use node::ReplyTo;
use tenure::{Authority, PROMISE_TERM};
use wire::{JobSpec, Run};

use crate::Agent;

/// Longest time that a call is deferred.
const MAX_DEFERRAL: Duration = PROMISE_TERM;

/// Maximum number of deferred calls.
const MAX_DEFERRED: usize = 1024;

/// Calls that wait until this agent may decide for their ids.
#[derive(Debug, Default)]
pub struct DeferredCalls {
    calls: Vec<Deferred>,
}

#[derive(Debug)]
struct Deferred {
    from: ReplyTo,
    call: DeferredCall,
    until: Timestamp,
}

/// A call that can be deferred.
#[derive(Debug)]
pub enum DeferredCall {
    /// A request.
    Run(Box<Run>),
    /// A job.
    Submit(Box<JobSpec>),
}

impl DeferredCall {
    fn id(&self) -> RequestId {
        match self {
            DeferredCall::Run(run) => run.id,
            DeferredCall::Submit(spec) => spec.id,
        }
    }

    fn budget(&self) -> Duration {
        match self {
            DeferredCall::Run(run) => run.budget,
            DeferredCall::Submit(spec) => spec.budget,
        }
    }

    fn shorten(&mut self, waited: Duration) {
        let budget = match self {
            DeferredCall::Run(run) => &mut run.budget,
            DeferredCall::Submit(spec) => &mut spec.budget,
        };
        *budget = budget.saturating_sub(waited);
    }
}

impl Agent {
    /// Whether a call for the id has to wait for the deputy's promise; false if the
    /// limit of deferred calls is reached.
    pub(crate) fn should_defer(&self, id: RequestId) -> bool {
        self.deferred.calls.len() < MAX_DEFERRED
            && self.tenure.decide(id, self.now) == Authority::PastHorizon
    }

    /// Defers the call until this agent may decide, at most for [`MAX_DEFERRAL`] or the
    /// call's budget.
    pub(crate) fn defer(&mut self, from: ReplyTo, call: DeferredCall) {
        let until = self.now + MAX_DEFERRAL.min(call.budget());
        self.deferred.calls.push(Deferred { from, call, until });
    }

    /// Resumes the calls that can be decided now or were deferred for the longest time
    /// allowed.
    pub(crate) fn resume_deferred(&mut self) {
        let (now, tenure) = (self.now, &self.tenure);
        let ready = self.deferred.calls.extract_if(.., |deferred| {
            deferred.until <= now
                || tenure.decide(deferred.call.id(), now) != Authority::PastHorizon
        });
        for deferred in ready.collect::<Vec<Deferred>>() {
            let Deferred { from, mut call, until } = deferred;
            let limit = MAX_DEFERRAL.min(call.budget());
            call.shorten(limit.saturating_sub(until.since(now)));
            match call {
                DeferredCall::Run(run) => self.decide_run(from, *run),
                DeferredCall::Submit(spec) => self.decide_job(from, *spec),
            }
        }
    }
}
