//! Requests in progress on an agent and its pending calls to peers.

use std::time::Duration;

use config::Rules;
use ident::{NodeId, RequestId, Timestamp};
use ledger::Limits;
use node::ReplyTo;
use slotmap::new_key_type;
use wire::Run;

new_key_type! {
    /// Identifies a request in progress on this agent.
    pub struct RequestKey;
    /// Identifies a pending call to a peer.
    pub struct CallKey;
}

/// Timeout of a call whose reply does not matter.
pub const NOTICE_TIMEOUT: Duration = Duration::from_secs(2);

/// Memory limit of the answers that a ledger keeps, in bytes.
const LEDGER_BYTES: usize = 64 * 1024 * 1024;

/// How the request reached this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// From an entry; this agent owns the id and records the start in the ledger.
    Owner,
    /// From an entry; any agent of the group may run it, as it is idempotent.
    Idempotent,
    /// Handed on by the owner.
    Delegate,
}

/// Stage of a request on this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a slot of the local endpoint.
    Queued,
    /// Runs on the local endpoint.
    Running,
    /// Handed on to the given agent.
    HandedOn(NodeId),
}

/// A request that is queued, running or handed on.
#[derive(Debug)]
pub struct Request {
    /// The request.
    pub run: Run,
    /// How it reached this agent.
    pub origin: Origin,
    /// Current stage.
    pub stage: Stage,
    /// Calls that wait for its outcome.
    pub waiters: Vec<ReplyTo>,
    /// Calls of entries that wait for the outcome of a request of another owner; a refusal tells
    /// them nothing, as the owner may place the request elsewhere.
    pub entry_waiters: Vec<ReplyTo>,
    /// Nodes that declined it or could not be reached.
    pub tried: Vec<NodeId>,
    /// Time at which the answer is due.
    pub deadline: Timestamp,
    /// Expected run time.
    pub expected: Duration,
    /// Rank of its urgency class.
    pub rank: u8,
    /// Time of its start on the local endpoint.
    pub started: Timestamp,
}

/// A pending call to a peer.
#[derive(Debug)]
pub enum Pending {
    /// The peer runs a request for this agent.
    HandOn {
        /// The request.
        request: RequestKey,
        /// The delegate.
        node: NodeId,
        /// Time of sending.
        sent: Timestamp,
        /// Status queries sent to the delegate so far.
        queries: u32,
    },
    /// The peer receives the ledger of this agent.
    HandOver {
        /// The receiver.
        to: NodeId,
        /// Earlier attempts to send it.
        attempts: u32,
    },
    /// The peer runs a task of a job that this agent coordinates.
    Task {
        /// Job of the task.
        job: RequestId,
        /// Index of the task in the job.
        index: u32,
        /// Agent of the worker.
        node: NodeId,
    },
    /// The reply is ignored.
    Notice,
}

/// Limits of a ledger under the rules in force.
pub fn ledger_limits(rules: &Rules) -> Limits {
    Limits { window: rules.window(), max_answer_bytes: LEDGER_BYTES, ..Limits::default() }
}
