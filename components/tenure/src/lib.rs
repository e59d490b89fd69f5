//! Shard ownership: which request ids a node may decide, and failover to a deputy.
//!
//! Each shard of a group has an owner and, usually, a deputy as standby. Both are
//! recorded in the shard table, which every node derives from the platform's log.
//! The owner holds a lease: the deputy regularly *promises* not to take over
//! before a given time. A [`Tenure`] is one node's view of this. It does no I/O;
//! callers pass in events and execute the actions that it returns.
//!
//! Ownership is a half-open range of creation times, which is compared with the
//! timestamp inside an id, never with a clock. The owner decides for ids from its
//! *lower fence* (inclusive) up to its *horizon* (exclusive). A successor that did
//! not receive the ledger starts at or after every horizon that its predecessor
//! can have used, so no id is decided twice.
//!
//! The rules that guarantee this:
//!
//! - A node decides and promises nothing before it has seen a log read that began
//!   after its own start. Its table then contains every assignment that earlier
//!   incarnations at the same address had applied.
//! - Unless the node made an assignment itself, its lower fence lies
//!   [`PROMISE_TERM`] plus twice the clock skew after its start. Earlier
//!   incarnations decided no id and gave no promise beyond that time.
//! - The horizon is bounded by the deputy's promise. A promise that is based on a
//!   newer table than the owner's does not count until the owner catches up.
//! - A deputy takes over only after the owner has requested a promise with a
//!   table that names it as deputy. Its range then starts twice the clock skew
//!   after its last promise; every id that was decided before that request has an
//!   earlier creation time.
//! - A deputy that has proposed to take over, or that has accepted a ledger, makes
//!   no promise to the owner until the log has decided.
//! - If no deputy can take over, the shard is first made vacant by an assignment
//!   under which no node decides. The next owner's range starts [`TABLE_TERM`]
//!   after that assignment is in the log, when every older table has expired.

mod apply;
mod assign;
mod authority;
mod deputy;
mod hand_over;
mod owner;
mod presence;
mod promises;
mod proposals;
mod rendezvous;
mod tenure;
mod view;

use std::time::Duration;

pub use crate::{
    authority::{Action, Authority},
    hand_over::{Accepted, Transfer},
    tenure::Tenure,
};

/// Duration of a promise not to take over.
pub const PROMISE_TERM: Duration = Duration::from_millis(1500);

/// Time between two promise requests to the same deputy.
pub const PROMISE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after a log read at which the table expires.
pub const TABLE_TERM: Duration = Duration::from_secs(600);
