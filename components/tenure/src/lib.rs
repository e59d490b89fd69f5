//! Decides for which ids this node is the owner, and what it must do to stay so.
//!
//! A [`Tenure`] holds what one agent knows of the shards of its group. Ownership
//! is a half-open range of times that is compared with the time inside an id,
//! never with a clock: the owner decides for ids from its lower fence up to its
//! horizon, and a successor that has not got the ledger starts at or after every
//! horizon that its predecessor can have used.
//!
//! The rules that make this hold:
//!
//! - A node decides and promises nothing before a log read that began after its
//!   own start. It then knows every assignment that earlier starts of the same
//!   address knew.
//! - Its lower fence for what it did not appoint itself lies [`PROMISE_TERM`] and
//!   twice the skew after its start. Earlier starts decided for no id and gave no
//!   promise beyond that.
//! - The horizon is bounded by the promise of the deputy. A promise that rests on a
//!   newer table than the owner's does not count yet.
//! - A deputy takes over only after the owner has asked it for a promise with a
//!   table that names it as deputy. It then starts twice the skew after its last
//!   promise, which no id that was decided before that request reaches.
//! - A deputy that intends to take over, or that has accepted a ledger, makes no
//!   promise to the owner until the log has decided.
//! - Where no deputy can take over, the shard is first made vacant: an assignment
//!   under which nobody decides. Once that is in the log the next owner starts
//!   [`TABLE_TERM`] later, when every older table has run out.

mod assign;
mod authority;
mod deputy;
mod hand_over;
mod learn;
mod owner;
mod presence;
mod promises;
mod proposals;
mod rendezvous;
mod tenure;
mod view;

use std::time::Duration;

pub use crate::{
    authority::{Authority, Duty},
    hand_over::{Accepted, Transfer},
    tenure::Tenure,
};

/// Time for which a deputy promises not to take over.
pub const PROMISE_TERM: Duration = Duration::from_millis(1500);

/// Time between two requests for a promise.
pub const PROMISE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after a log read for which the table may be trusted.
pub const TABLE_TERM: Duration = Duration::from_secs(600);
