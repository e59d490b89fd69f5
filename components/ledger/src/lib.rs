//! What the owner of shards remembers about the ids that it has seen.
//!
//! The ledger decides whether an attempt starts, attaches to one that runs, or
//! gets an earlier outcome again. It is asked only for ids that the node owns.
//!
//! Memory is bounded. Entries are ordered by the time inside the id, and the
//! oldest are forgotten first: an id made before the *cutoff* that has no entry
//! is refused, so that a forgotten id never starts again. The cutoff follows the
//! window and rises further when there are more than [`Limits::max_entries`]
//! entries. An entry takes about [`ENTRY_BYTES`] besides its answer; when the
//! answers together exceed [`Limits::max_answer_bytes`], the oldest are dropped
//! and their ids stay.

mod entry;
mod export;
mod ledger;
mod refused;

pub use crate::{
    entry::{Admit, Cancelled, Entry},
    export::Export,
    ledger::{ENTRY_BYTES, Ledger, Limits},
};
