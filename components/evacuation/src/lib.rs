//! Evacuation of availability zones: what a process knows of it, and whom it notifies.
//!
//! The operator's log in the store is the only durable copy. A process builds a state from it
//! with [`LogPrefix`], keeps the newest state that it has read or received in [`Knowledge`], and
//! as an entry sends it to the members that [`Spread`] names.
//!
//! The crate does no I/O and reads no clock.

mod knowledge;
mod prefix;
mod spread;

pub use crate::{
    knowledge::{Change, ChangeKind, Knowledge, RESEND_AFTER_MS, STARTUP_HOLD_MS, UNKNOWN_ZONE_MS},
    prefix::LogPrefix,
    spread::{RESEND_MS, SLOW_RESEND_MS, Spread},
};
