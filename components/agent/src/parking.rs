//! Calls for ids that this agent owns but may not decide for at the moment.
//!
//! Just after a shard has changed hands its owner waits for the first promise
//! of its deputy. A call that comes in between waits here for it, which saves
//! the entry's retries; it is refused once it is clear that no promise comes.

use std::time::Duration;

use ident::{RequestId, Timestamp};
use node::ReplyTo;
use tenure::{Authority, PROMISE_TERM};
use wire::{JobSpec, Run};

use crate::Agent;

/// Longest time that a call waits for the owner's right to decide.
const MAX_PARKED: Duration = PROMISE_TERM;

/// Most calls that wait at a time.
const PARKED_LIMIT: usize = 1024;

/// Calls that wait for the owner's right to decide.
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

/// A call that waits.
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
    /// Whether this agent will soon know if it may decide for the id.
    pub(crate) fn must_wait(&self, id: RequestId) -> bool {
        self.parking.calls.len() < PARKED_LIMIT
            && self.tenure.decide(id, self.now) == Authority::PastHorizon
    }

    /// Lets the call wait.
    pub(crate) fn park(&mut self, from: ReplyTo, asked: ParkedCall) {
        let until = self.now + MAX_PARKED.min(asked.budget());
        self.parking.calls.push(Parked { from, asked, until });
    }

    /// Takes calls up again that can be decided now or have waited long enough.
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
