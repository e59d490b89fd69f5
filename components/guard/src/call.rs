//! Calls of an endpoint and their answers.

use std::{net::SocketAddr, sync::Arc};

use mesh::RunKey;

/// A call of the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Incarnation of the endpoint that is meant.
    pub instance: Arc<str>,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Fencing token.
    pub token: u64,
    /// What is called.
    pub kind: CallKind,
}

/// What is called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// Starts a run.
    Start {
        /// Run.
        key: RunKey,
        /// What the endpoint is to do.
        spec: Arc<str>,
        /// End of the lease, by the endpoint's clock.
        lease: u64,
    },
    /// Stops a run.
    Stop {
        /// Run.
        key: RunKey,
    },
    /// Renews the lease, acknowledges ends, and looks at what runs.
    Hold {
        /// End of the lease by the endpoint's clock; without it no lease is renewed.
        lease: Option<u64>,
        /// Number of the last end that has been taken note of.
        acknowledged: u64,
        /// Time to wait for an end, in ms.
        wait: u64,
    },
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Carried out; the endpoint's clock.
    Accepted {
        /// Clock of the endpoint, in ms.
        clock: u64,
    },
    /// What the endpoint shows.
    Seen(Look),
    /// Not carried out.
    Rejected(Rejection),
    /// Not sent.
    Unsent,
    /// No answer: carried out, or not, or later.
    Unknown,
}

/// Why an endpoint did not carry out a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// A higher fencing token has been used.
    Fence,
    /// A run with this number or a higher one has ended or was stopped.
    Old,
    /// The lease had ended on arrival.
    Late,
    /// No room.
    Room,
    /// The endpoint is unhealthy.
    Unhealthy,
    /// Another incarnation has the address.
    Instance,
    /// The call was not understood.
    Invalid,
}

/// What an endpoint shows of its runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Look {
    /// Clock of the endpoint, in ms.
    pub clock: u64,
    /// Runs in progress.
    pub running: Vec<RunningRun>,
    /// Ends that are not acknowledged.
    pub ended: Vec<EndedRun>,
}

/// A run in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningRun {
    /// Run.
    pub key: RunKey,
    /// Work that is done, in percent.
    pub percent: u32,
}

/// A run that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end.
    pub number: u64,
    /// Run.
    pub key: RunKey,
    /// How it ended.
    pub how: EndpointEnd,
}

/// How a run ended by the word of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointEnd {
    /// Done.
    Done,
    /// Failed.
    Failed,
    /// Stopped as asked.
    Stopped,
    /// Its lease ended.
    Lapsed,
}
