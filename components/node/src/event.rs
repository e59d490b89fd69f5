//! What reaches a core.

use std::{sync::Arc, time::Duration};

use ident::{NodeId, RequestId, Timestamp};
use register::State;
use verdict::Answer;
use wire::{Call, CallId, Datagram, Reply};

use crate::CallerRequest;

/// Where to send the reply to a peer's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReplyTo {
    /// Number that the shell gave the connection.
    pub connection: u64,
    /// Number of the call on it.
    pub call: CallId,
}

/// Names a caller's HTTP request within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerToken(pub u64);

/// Names a request that the local executor runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecToken(pub u64);

/// Names a task that the local worker runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskToken(pub u64);

/// Names a call to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerToken(pub u64);

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// No byte of the call was written.
    NotSent,
    /// The call may have arrived.
    Lost,
}

/// Something that happened to a node.
#[derive(Debug)]
pub enum Event {
    /// A caller sent a request.
    Caller {
        /// Names the request.
        token: CallerToken,
        /// What the caller asks.
        request: CallerRequest,
    },
    /// A caller closed its connection before the answer.
    CallerGone {
        /// Names the request.
        token: CallerToken,
    },
    /// A peer called.
    Call {
        /// Where the reply goes.
        from: ReplyTo,
        /// Peer that called.
        peer: NodeId,
        /// What it asks.
        call: Call,
    },
    /// A call to a peer ended.
    PeerReplied {
        /// Names the call.
        token: PeerToken,
        /// The reply, or why there is none.
        reply: Result<Reply, LinkError>,
    },
    /// The local executor finished a request, or failed to.
    Executed {
        /// Names the request.
        token: ExecToken,
        /// Its answer, or why there is none.
        result: Result<Answer, LinkError>,
        /// Time that it took.
        took: Duration,
    },
    /// The local worker finished a task, or failed to.
    TaskEnded {
        /// Names the task.
        token: TaskToken,
        /// Its answer, or why there is none.
        result: Result<Answer, LinkError>,
        /// Time that it took.
        took: Duration,
    },
    /// A datagram arrived.
    Datagram(Datagram),
    /// The state was read from the log or from a peer.
    State {
        /// State as read.
        state: Arc<State>,
        /// Start of the log read that it rests on.
        read_at: Timestamp,
    },
    /// Time has passed; comes every few milliseconds.
    Tick,
    /// The process was asked to stop: finish what runs, take nothing new.
    Stop,
    /// A caller or operator asked why a request went where it did.
    Explain {
        /// Names the caller's request.
        token: CallerToken,
        /// Id in question.
        id: RequestId,
    },
}
