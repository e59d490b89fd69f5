//! Calls to an endpoint, and their answers.

use std::{net::SocketAddr, sync::Arc};

use mesh::RunKey;

use crate::instance::Instance;

/// A call to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Instance of the endpoint that is called; the call itself names its id alone.
    pub instance: Instance,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Fencing token of the agent; the endpoint rejects calls with a lower one than it has seen.
    pub fencing_token: u64,
    /// Operation and its arguments.
    pub kind: CallKind,
}

/// Operation of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// Starts a run.
    Start {
        /// Task, and the run's number at the endpoint.
        key: RunKey,
        /// Task specification.
        spec: Arc<str>,
        /// Expiry of the lease by the endpoint's clock, in ms.
        lease: u64,
    },
    /// Stops a run.
    Stop {
        /// Task, and the run's number at the endpoint.
        key: RunKey,
    },
    /// Long poll, in this crate just called poll: renews the lease, acknowledges ended runs, and
    /// returns a snapshot of the runs.
    Hold {
        /// New expiry of the lease by the endpoint's clock, in ms; `None` renews nothing.
        lease: Option<u64>,
        /// Number of the last ended run that has been processed.
        acknowledged: u64,
        /// Time for which the endpoint waits for a run to end before it answers, in ms.
        wait: u64,
    },
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The endpoint has carried out the start or stop.
    Accepted {
        /// Clock of the endpoint, in ms.
        clock: u64,
    },
    /// Answer to a poll: a snapshot of the endpoint's runs.
    Seen(Snapshot),
    /// The endpoint did not carry out the call.
    Rejected(Rejection),
    /// The call was not sent.
    Unsent,
    /// No answer: the call may have been carried out, or may be later.
    Unknown,
}

/// Why an endpoint did not carry out a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The endpoint has seen a higher fencing token.
    Fence,
    /// A run with this number or a higher one has ended or was stopped.
    Old,
    /// The lease had expired when the call arrived.
    Late,
    /// Not enough free resources.
    Room,
    /// The endpoint is unhealthy.
    Unhealthy,
    /// Another instance of the endpoint has the address.
    Instance,
    /// The endpoint could not parse the call.
    Invalid,
}

/// Snapshot of the runs of an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Birth time of the instance that answers, in Unix ms.
    pub born: Option<u64>,
    /// Clock of the endpoint, in ms.
    pub clock: u64,
    /// Runs in progress.
    pub running: Vec<RunningRun>,
    /// Ended runs that are not acknowledged.
    pub ended: Vec<EndedRun>,
    /// Highest number of an end that was listed and could not be decoded; 0 if there was none.
    pub last_ignored: u64,
}

impl Snapshot {
    /// Highest number of any listed end, if there is one.
    pub(crate) fn last_ended(&self) -> Option<u64> {
        let decoded = self.ended.iter().map(|it| it.number).max();
        decoded.max(Some(self.last_ignored).filter(|it| *it > 0))
    }
}

/// A run in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningRun {
    /// Task, and the run's number at the endpoint.
    pub key: RunKey,
    /// Progress, in percent.
    pub percent: u32,
}

/// A run that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end; rises with each run that ends on the endpoint.
    pub number: u64,
    /// Task, and the run's number at the endpoint.
    pub key: RunKey,
    /// How the run ended.
    pub outcome: RunOutcome,
}

/// Outcome of a run as reported by its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task is complete.
    Done,
    /// The task has failed.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
}
