//! Requests that are present on an agent.

use std::time::Duration;

use config::Rules;
use ident::{NodeId, RequestId, Timestamp};
use ledger::Limits;
use node::ReplyTo;
use slotmap::new_key_type;
use wire::Run;

new_key_type! {
    /// Names a request that is present on this agent.
    pub struct WorkKey;
    /// Names a call to a peer that has not ended.
    pub struct CallKey;
}

/// Time after which a call that only informs a peer counts as lost.
pub const NOTICE_TIMEOUT: Duration = Duration::from_secs(2);

/// Memory for the answers that a ledger keeps, in bytes.
const LEDGER_BYTES: usize = 64 * 1024 * 1024;

/// Why this agent has the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It owns the id and has recorded the start.
    Owner,
    /// The request is idempotent, so that any agent may run it.
    Idempotent,
    /// The owner handed it on.
    Delegate,
}

/// How far a request has come on this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a slot of the local endpoint.
    Queued,
    /// Runs on the local endpoint.
    Running,
    /// Waits for the answer of another agent.
    HandedOn(NodeId),
}

/// A request that is present on this agent.
#[derive(Debug)]
pub struct Work {
    /// The request.
    pub run: Run,
    /// Why it is here.
    pub origin: Origin,
    /// How far it has come.
    pub stage: Stage,
    /// Who waits for its outcome.
    pub waiters: Vec<ReplyTo>,
    /// Nodes that did not start it.
    pub tried: Vec<NodeId>,
    /// When the answer is needed.
    pub deadline: Timestamp,
    /// Expected run time.
    pub expected: Duration,
    /// Rank of its urgency class.
    pub rank: u8,
    /// When the local endpoint was given it.
    pub started: Timestamp,
}

/// A call to a peer that has not ended.
#[derive(Debug)]
pub enum Pending {
    /// The peer runs a request for this agent.
    HandOn {
        /// Request that was handed on.
        work: WorkKey,
        /// Peer that has it.
        node: NodeId,
        /// When it was sent.
        sent: Timestamp,
        /// Times that the peer was asked again by id.
        asked: u32,
    },
    /// The peer receives the ledger of this agent.
    HandOver {
        /// The peer.
        to: NodeId,
        /// Times that it was sent before.
        tries: u32,
    },
    /// The peer runs a task of a job that this agent coordinates.
    Task {
        /// Job that the task belongs to.
        job: RequestId,
        /// Position of the task in the job.
        index: u32,
        /// Peer that has it.
        node: NodeId,
    },
    /// Nothing depends on the reply.
    Notice,
}

/// Bounds of a ledger under the rules in force.
pub fn ledger_limits(rules: &Rules) -> Limits {
    Limits { window: rules.window(), max_answer_bytes: LEDGER_BYTES, ..Limits::default() }
}
