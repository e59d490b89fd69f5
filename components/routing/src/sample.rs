//! What a reply tells.

use std::time::Duration;

use ident::Timestamp;
use wire::Load;

/// End of a request that was sent to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample<'a> {
    /// Kind of the request.
    pub kind: &'a str,
    /// Run time that the caller declared.
    pub declared: Option<Duration>,
    /// Run time that was expected when it was sent, as given to `on_sent`.
    pub expected: Duration,
    /// Time at which it was sent, as given to `on_sent`.
    pub sent_at: Timestamp,
    /// Time that the endpoint took; zero if it did not run.
    pub run_time: Duration,
    /// How it ended.
    pub outcome: SampleOutcome,
    /// Load of the agent when it replied, if it did.
    pub load: Option<Load>,
}

/// How a request ended, as far as it concerns the agent's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SampleOutcome {
    /// The endpoint answered.
    Healthy,
    /// The endpoint answered with an error of its own.
    Failed,
    /// The agent refused for load or because of the deadline.
    Refused,
    /// The connection was lost, or the answer did not come in time.
    Lost,
    /// The request was cancelled, which says nothing about the agent.
    Cancelled,
}
