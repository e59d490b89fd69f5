//! Pending requests and jobs, their calls and their timers.

use std::time::Duration;

use ident::{Group, NodeId, RequestId, Timestamp};
use node::CallerToken;
use slotmap::new_key_type;
use verdict::Refusal;
use wire::{Call, JobSpec, Run};

use crate::query::QueryKey;

new_key_type! {
    /// Identifies a pending request.
    pub struct RequestKey;
    /// Identifies a pending call to a peer.
    pub struct CallKey;
}

/// Work that the caller submitted.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A request.
    Run(Run),
    /// A job.
    Job(JobSpec),
}

/// Agents that may receive a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Any agent of the group, as the request is idempotent.
    Any,
    /// The owner of the id.
    Owner,
    /// Any owner, as the entry generates an id in one of the owner's shards.
    Generated,
}

/// A pending request or job.
#[derive(Debug)]
pub struct Request {
    /// Identifies the caller's HTTP request.
    pub token: CallerToken,
    /// Work that the caller submitted.
    pub payload: Payload,
    /// Group that serves it.
    pub group: Group,
    /// Agents that may receive it.
    pub route: Route,
    /// Whether the caller chose the id, so that earlier submissions may exist.
    pub id_chosen: bool,
    /// Expected run time.
    pub expected: Duration,
    /// Time at which the answer is due.
    pub deadline: Timestamp,
    /// Agents that it was sent to.
    pub tried: Vec<NodeId>,
    /// Attempts made so far.
    pub attempts: u32,
    /// Nodes of the attempts that have not ended.
    pub in_flight: Vec<NodeId>,
    /// Whether the result of an ended attempt is unknown.
    pub uncertain: bool,
    /// Latest refusal by an agent.
    pub refusal: Option<Refusal>,
}

/// A pending call to a peer.
#[derive(Debug)]
pub enum Pending {
    /// The peer was sent a request.
    Attempt {
        /// The request.
        request: RequestKey,
        /// The peer.
        node: NodeId,
        /// Time of sending.
        sent: Timestamp,
    },
    /// The peer was sent a query about an id.
    Query {
        /// The query.
        query: QueryKey,
    },
    /// The reply is ignored.
    Notice,
}

/// A timer of a request. Timers are ordered by the time at which they fire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    /// Time at which it fires.
    pub at: Timestamp,
    /// The request.
    pub request: RequestKey,
    /// Action to perform.
    pub kind: TimerKind,
}

/// Action of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// Send the request again.
    Retry,
    /// Send a copy to a second agent.
    Hedge,
    /// Refuse the request as timed out.
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

    /// Replaces the id with one generated for the next attempt's owner.
    pub fn set_id(&mut self, id: RequestId) {
        match &mut self.payload {
            Payload::Run(run) => run.id = id,
            Payload::Job(spec) => spec.id = id,
        }
    }

    /// Request kind, `job` for all jobs.
    pub fn kind(&self) -> &str {
        match &self.payload {
            Payload::Run(run) => &run.kind,
            Payload::Job(_) => "job",
        }
    }

    /// Run time declared by the caller or configured for the kind; none for a job.
    pub fn declared(&self) -> Option<Duration> {
        match &self.payload {
            Payload::Run(run) => run.declared,
            Payload::Job(_) => None,
        }
    }

    /// Service, `workers` for all jobs.
    pub fn service(&self) -> &str {
        match &self.payload {
            Payload::Run(run) => &run.service,
            Payload::Job(_) => "workers",
        }
    }

    /// Call that makes an agent run the request or job within `budget`.
    pub fn call(&self, budget: Duration, hints: Vec<NodeId>) -> Call {
        match &self.payload {
            Payload::Run(run) => Call::Run(Run { budget, hints, ..run.clone() }),
            Payload::Job(spec) => Call::Submit(JobSpec { budget, ..spec.clone() }),
        }
    }
}
