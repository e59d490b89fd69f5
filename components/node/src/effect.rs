//! What a core asks of its shell.

use std::time::Duration;

use ident::NodeId;
use register::Record;
use wire::{Call, Datagram, Reply, Run, StartTask};

use crate::{CallerReply, CallerToken, Decision, ExecToken, PeerToken, ReplyTo, TaskToken};

/// Something that the shell must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a caller.
    Respond {
        /// Names the caller's request.
        token: CallerToken,
        /// What to answer.
        reply: CallerReply,
    },
    /// Answer a peer's call.
    Reply {
        /// Where the reply goes.
        to: ReplyTo,
        /// What to answer.
        reply: Reply,
    },
    /// Call a peer; ends with `Event::PeerReplied`.
    CallPeer {
        /// Names the call.
        token: PeerToken,
        /// Peer to call.
        node: NodeId,
        /// What to ask.
        call: Call,
        /// Time after which the call counts as lost.
        timeout: Duration,
    },
    /// Send a datagram.
    Send {
        /// Node to send to.
        node: NodeId,
        /// What to send.
        datagram: Datagram,
    },
    /// Run a request on the local executor; ends with `Event::Executed`.
    Execute {
        /// Names the request.
        token: ExecToken,
        /// What to run.
        run: Run,
        /// Time after which the request counts as lost.
        timeout: Duration,
    },
    /// Start a task on the local worker; ends with `Event::TaskEnded`.
    StartTask {
        /// Names the task.
        token: TaskToken,
        /// What to run.
        task: StartTask,
    },
    /// Prolong a task's lease on the local worker.
    RenewTask {
        /// Names the task.
        token: TaskToken,
        /// Time that the lease lasts from now.
        lease: Duration,
    },
    /// Checkpoint and stop a task on the local worker.
    StopTask {
        /// Names the task.
        token: TaskToken,
    },
    /// Append a record to the platform's log.
    Append(Record),
    /// Read the log now instead of at the next poll, or fetch from `peer`.
    Refresh {
        /// Peer that is known to be ahead, if any.
        peer: Option<NodeId>,
    },
    /// Write a decision to the log and keep it for `explain`.
    Decide(Decision),
    /// Write a warning to the log.
    Warn(String),
    /// Everything is finished; the process may exit.
    Stopped,
}
