//! Deferral of calls for ids that this agent owns but may not yet decide for.
//!
//! A new owner of a shard may not decide before the first promise of its deputy.
//! Calls that arrive earlier are deferred, which saves the entry's retries. They
//! are refused if no promise arrives in time.

use std::time::Duration;

use ident::{RequestId, Timestamp};
use node::ReplyTo;
use tenure::{Authority, PROMISE_TERM};
use wire::{JobSpec, Run};

use crate::Agent;

/// Longest time that a call is deferred.
const MAX_PARKED: Duration = PROMISE_TERM;

/// Maximum number of deferred calls.
const PARKED_LIMIT: usize = 1024;

/// Calls that wait until this agent may decide for their ids.
#[derive(Debug, Default)]
pub struct Parking {
    calls: Vec<Parked>,
}

#[derive(Debug)]
struct Parked {
    from: ReplyTo,
    asked: ParkedCall,
    until: Timestamp,
}

/// The deferred call.
#[derive(Debug)]
pub enum ParkedCall {
    /// A request.
    Run(Box<Run>),
    /// A job.
    Submit(Box<JobSpec>),
}

impl ParkedCall {
    fn id(&self) -> RequestId {
        match self {
            ParkedCall::Run(run) => run.id,
            ParkedCall::Submit(spec) => spec.id,
        }
    }

    fn budget(&self) -> Duration {
        match self {
            ParkedCall::Run(run) => run.budget,
            ParkedCall::Submit(spec) => spec.budget,
        }
    }

    fn shorten(&mut self, waited: Duration) {
        let budget = match self {
            ParkedCall::Run(run) => &mut run.budget,
            ParkedCall::Submit(spec) => &mut spec.budget,
        };
        *budget = budget.saturating_sub(waited);
    }
}

impl Agent {
    /// Whether a call for the id has to wait for the deputy's promise and can be
    /// deferred.
    pub(crate) fn must_wait(&self, id: RequestId) -> bool {
        self.parking.calls.len() < PARKED_LIMIT
            && self.tenure.decide(id, self.now) == Authority::PastHorizon
    }

    /// Defers the call, at most until its budget is used up.
    pub(crate) fn park(&mut self, from: ReplyTo, asked: ParkedCall) {
        let until = self.now + MAX_PARKED.min(asked.budget());
        self.parking.calls.push(Parked { from, asked, until });
    }

    /// Resumes the calls that can be decided now or have reached their limit.
    pub(crate) fn tick_parking(&mut self) {
        let (now, tenure) = (self.now, &self.tenure);
        let ready = self.parking.calls.extract_if(.., |parked| {
            parked.until <= now || tenure.decide(parked.asked.id(), now) != Authority::PastHorizon
        });
        for parked in ready.collect::<Vec<Parked>>() {
            let Parked { from, mut asked, until } = parked;
            let limit = MAX_PARKED.min(asked.budget());
            asked.shorten(limit.saturating_sub(until.since(now)));
            match asked {
                ParkedCall::Run(run) => self.decide_run(from, *run),
                ParkedCall::Submit(spec) => self.decide_job(from, *spec),
            }
        }
    }
}
