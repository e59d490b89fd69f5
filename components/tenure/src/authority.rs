//! What a node may decide and what it must do.

use ident::{NodeId, Shard};
use register::Assignment;

/// Whether this node decides if an id may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// It decides.
    Owner,
    /// It owns the shard, but an earlier owner may have decided for the id.
    BeforeTenure,
    /// It owns the shard or is about to, but can't be sure at present that nobody
    /// else does.
    PastHorizon,
    /// It does not own the shard.
    NotOwner {
        /// Node that does, as far as is known.
        owner: Option<NodeId>,
    },
    /// The id was made further in the future than clocks can differ.
    FromFuture,
}

/// What the node must do for its tenure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Duty {
    /// Ask a deputy for a promise.
    AskPromise {
        /// Node to ask.
        deputy: NodeId,
    },
    /// Append these assignments to the log.
    Assign(Vec<(Shard, Assignment)>),
    /// Read the log, or fetch the state from a peer that is ahead.
    Refresh,
}
