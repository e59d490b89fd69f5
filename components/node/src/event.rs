//! Events that the shell passes to a state machine.

use std::{sync::Arc, time::Duration};

use ident::{NodeId, RequestId, Timestamp};
use register::State;
use verdict::Answer;
use wire::{Call, CallId, Datagram, Reply};

use crate::CallerRequest;

/// Destination of the reply to a call from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReplyTo {
    /// Connection number, assigned by the shell.
    pub connection: u64,
    /// Number of the call on the connection.
    pub call: CallId,
}

/// Identifies a caller's HTTP request within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerToken(pub u64);

/// Identifies a request on the local executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecToken(pub u64);

/// Identifies a task on the local worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskToken(pub u64);

/// Identifies a call to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub u64);

/// Failure of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// No byte of the call was written.
    NotSent,
    /// The call may have arrived.
    Lost,
}

/// An input to the state machine of a node.
#[derive(Debug)]
pub enum Event {
    /// A caller sent a request.
    CallerRequest {
        /// Identifies the request.
        token: CallerToken,
        /// The request.
        request: CallerRequest,
    },
    /// A caller closed its connection before the reply.
    CallerGone {
        /// Identifies the request.
        token: CallerToken,
    },
    /// A call from a peer arrived.
    Call {
        /// Destination of the reply.
        from: ReplyTo,
        /// Calling peer.
        peer: NodeId,
        /// The call.
        call: Call,
    },
    /// A call to a peer ended.
    PeerReplied {
        /// Identifies the call.
        token: CallToken,
        /// The reply, or the failure of the call.
        reply: Result<Reply, LinkError>,
    },
    /// The local executor finished or failed a request.
    Executed {
        /// Identifies the request.
        token: ExecToken,
        /// Its answer, or the failure of the call.
        result: Result<Answer, LinkError>,
        /// Duration.
        took: Duration,
    },
    /// The local worker finished or failed a task.
    TaskEnded {
        /// Identifies the task.
        token: TaskToken,
        /// Its answer, or the failure of the call.
        result: Result<Answer, LinkError>,
        /// Duration.
        took: Duration,
    },
    /// A datagram arrived.
    Datagram(Datagram),
    /// The replicated state was read from the log or from a peer.
    State {
        /// The state.
        state: Arc<State>,
        /// Start of the log read that produced the state.
        read_at: Timestamp,
    },
    /// Periodic timer, every few milliseconds.
    Tick,
    /// Shut down: finish running work and accept no more.
    Stop,
    /// A caller or operator asked for the decisions about a request.
    Explain {
        /// Identifies the caller's request.
        token: CallerToken,
        /// Id of the request.
        id: RequestId,
    },
}
