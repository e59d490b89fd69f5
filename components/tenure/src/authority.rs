//! Results of an ownership check, and actions for the caller.

use ident::{NodeId, Shard};
use register::Assignment;

/// Whether this node may decide for an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// The node decides.
    Owner,
    /// The node owns the shard, but an earlier owner may have decided for the id.
    BeforeTenure,
    /// The node owns the shard or is taking it over, but its lease does not reach
    /// the id's creation time, so another node may decide for the id.
    PastHorizon,
    /// The node does not own the shard.
    NotOwner {
        /// Result of [`Tenure::owner`](crate::Tenure::owner).
        owner: Option<NodeId>,
    },
    /// The id's creation time is ahead of this node's clock by more than the clock skew.
    FromFuture,
}

/// Action that the caller must execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Request a promise from a deputy.
    RequestPromise {
        /// Node to send the request to.
        deputy: NodeId,
    },
    /// Append these assignments to the log.
    Assign(Vec<(Shard, Assignment)>),
    /// Read the log, or fetch the state from a peer with a later one.
    Refresh,
}
