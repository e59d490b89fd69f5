//! Requests and jobs that wait for their answer.

use std::time::Duration;

use ident::{Group, NodeId, RequestId, Timestamp};
use node::CallerToken;
use slotmap::new_key_type;
use verdict::Refusal;
use wire::{Call, JobSpec, Run};

use crate::asking::QuestionKey;

new_key_type! {
    /// Names a request that waits for its answer.
    pub struct RequestKey;
    /// Names a call to a peer that has not ended.
    pub struct CallKey;
}

/// What the caller asked for.
#[derive(Debug, Clone)]
pub enum Payload {
    /// One request.
    Run(Run),
    /// A job.
    Job(JobSpec),
}

/// Which agents may be sent the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Any agent of the group, as the request is idempotent.
    Any,
    /// The owner of the id.
    Owner,
    /// Any owner, as the id is made to suit it.
    Minted,
}

/// A request that waits for its answer.
#[derive(Debug)]
pub struct Request {
    /// Caller that waits.
    pub token: CallerToken,
    /// What it asked for.
    pub payload: Payload,
    /// Group that serves it.
    pub group: Group,
    /// Which agents may be sent it.
    pub route: Route,
    /// Whether the caller chose the id, so that earlier submissions may exist.
    pub chosen: bool,
    /// Expected run time.
    pub expected: Duration,
    /// When the answer is needed.
    pub deadline: Timestamp,
    /// Agents that were tried.
    pub tried: Vec<NodeId>,
    /// Attempts made so far.
    pub attempts: u32,
    /// Attempts that have not ended, with the nodes that have them.
    pub open: Vec<NodeId>,
    /// Whether an attempt ended without it being known what became of it.
    pub doubt: bool,
    /// Latest refusal of an agent.
    pub refusal: Option<Refusal>,
}

/// A call to a peer that has not ended.
#[derive(Debug)]
pub enum Pending {
    /// The peer has a request.
    Attempt {
        /// The request.
        request: RequestKey,
        /// The peer.
        node: NodeId,
        /// When it was sent.
        sent: Timestamp,
    },
    /// The peer was asked about an id.
    Question {
        /// The question.
        question: QuestionKey,
    },
    /// Nothing depends on the reply.
    Notice,
}

/// Something that is due at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    /// When it is due.
    pub at: Timestamp,
    /// Request that it is about.
    pub request: RequestKey,
    /// What is due.
    pub due: Due,
}

/// What is due for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// Send it again.
    Retry,
    /// Send a copy to a second agent.
    Hedge,
    /// Give it up.
    Deadline,
}

impl Request {
    /// Id of the request or job.
    pub fn id(&self) -> RequestId {
        match &self.payload {
            Payload::Run(run) => run.id,
            Payload::Job(spec) => spec.id,
        }
    }

    /// Gives the request an id that suits its next agent.
    pub fn set_id(&mut self, id: RequestId) {
        match &mut self.payload {
            Payload::Run(run) => run.id = id,
            Payload::Job(spec) => spec.id = id,
        }
    }

    /// Request kind, or a name that all jobs share.
    pub fn kind(&self) -> &str {
        match &self.payload {
            Payload::Run(run) => &run.kind,
            Payload::Job(_) => "job",
        }
    }

    /// Run time that the caller declared.
    pub fn declared(&self) -> Option<Duration> {
        match &self.payload {
            Payload::Run(run) => run.declared,
            Payload::Job(_) => None,
        }
    }

    /// Service, or a name that all jobs share.
    pub fn service(&self) -> &str {
        match &self.payload {
            Payload::Run(run) => &run.service,
            Payload::Job(_) => "workers",
        }
    }

    /// Message that asks an agent to run the request within `budget`.
    pub fn call(&self, budget: Duration, hints: Vec<NodeId>) -> Call {
        match &self.payload {
            Payload::Run(run) => Call::Run(Run { budget, hints, ..run.clone() }),
            Payload::Job(spec) => Call::Submit(JobSpec { budget, ..spec.clone() }),
        }
    }
}
