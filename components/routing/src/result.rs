//! Result of a request, from which the router updates its estimates.

use std::time::Duration;

use ident::Timestamp;
use wire::Load;

/// Outcome and timing of a request that was sent to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestResult<'a> {
    /// Kind of the request.
    pub kind: &'a str,
    /// Run time that the caller declared.
    pub declared: Option<Duration>,
    /// Expected run time, as given to [`Router::on_sent`](crate::Router::on_sent).
    pub expected: Duration,
    /// Time of sending, as given to [`Router::on_sent`](crate::Router::on_sent).
    pub sent_at: Timestamp,
    /// Time that the endpoint took; zero if the request did not run.
    pub run_time: Duration,
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// Load of the agent when it replied; `None` without a reply.
    pub load: Option<Load>,
}

/// How a request ended, for the agent's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The endpoint answered.
    Healthy,
    /// The endpoint answered with an error of its own.
    Failed,
    /// The agent refused the request because of its load or the deadline.
    Refused,
    /// The connection was lost, or the answer timed out.
    Lost,
    /// The request was cancelled, which says nothing about the agent.
    Cancelled,
}
