//! Effects that a state machine requests from its shell.

use std::time::Duration;

use ident::NodeId;
use register::Record;
use wire::{Call, Datagram, Reply, Run, StartTask};

use crate::{CallToken, CallerReply, CallerToken, Decision, ExecToken, ReplyTo, TaskToken};

/// An action for the shell to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Reply to a caller.
    Respond {
        /// Identifies the caller's request.
        token: CallerToken,
        /// The reply.
        reply: CallerReply,
    },
    /// Reply to a call from a peer.
    Reply {
        /// Destination of the reply.
        to: ReplyTo,
        /// The reply.
        reply: Reply,
    },
    /// Call a peer; ends with `Event::PeerReplied`.
    CallPeer {
        /// Identifies the call.
        token: CallToken,
        /// Peer to call.
        node: NodeId,
        /// The call.
        call: Call,
        /// Time after which the call counts as lost.
        timeout: Duration,
    },
    /// Send a datagram to a peer.
    Send {
        /// Receiver.
        node: NodeId,
        /// The datagram.
        datagram: Datagram,
    },
    /// Run a request on the local executor; ends with `Event::Executed`.
    Execute {
        /// Identifies the request.
        token: ExecToken,
        /// The request.
        run: Run,
        /// Time after which the request counts as lost.
        timeout: Duration,
    },
    /// Start a task on the local worker; ends with `Event::TaskEnded`.
    StartTask {
        /// Identifies the task.
        token: TaskToken,
        /// The task and its lease.
        task: StartTask,
    },
    /// Renew a task's lease on the local worker.
    RenewTask {
        /// Identifies the task.
        token: TaskToken,
        /// Duration of the lease from now.
        lease: Duration,
    },
    /// Checkpoint and stop a task on the local worker.
    StopTask {
        /// Identifies the task.
        token: TaskToken,
    },
    /// Append a record to the platform's log.
    Append(Record),
    /// Update the replicated state: fetch it from `peer`, or read the log now instead
    /// of at the next poll.
    Refresh {
        /// Peer that is known to have newer state, if any.
        peer: Option<NodeId>,
    },
    /// Write a decision to the log and keep it for `explain`.
    LogDecision(Decision),
    /// Write a warning to the log.
    Warn(String),
    /// The shutdown is complete; the process may exit.
    Stopped,
}
