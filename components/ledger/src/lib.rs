//! Ledger of request ids, kept by the node that owns their shards.
//!
//! The ledger decides whether an attempt at an id starts, attaches to a running
//! attempt, or gets an earlier outcome again. It holds only ids that the node owns;
//! an agent keeps a separate ledger for ids that it runs for their owners.
//!
//! Memory is bounded. Entries are ordered by the time in the id, and the oldest
//! are evicted first: an id created before the *cutoff* that has no entry is refused,
//! so that an evicted id never starts again. The cutoff is the present time less
//! [`Limits::window`]. It rises further when an id is evicted to stay within
//! [`Limits::max_entries`], and never falls. An entry takes about
//! [`ENTRY_BYTES`] besides its answer; when the answers together exceed
//! [`Limits::max_answer_bytes`], the oldest answers are dropped, but their ids are
//! kept.

mod entry;
mod export;
mod ledger;
mod refused;

pub use crate::{
    entry::{Admission, CancelResult, Entry},
    export::Export,
    ledger::{ENTRY_BYTES, Ledger, Limits},
};
