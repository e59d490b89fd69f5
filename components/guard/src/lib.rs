//! Core of the agent that runs beside an endpoint.
//!
//! The agent is the only caller of its endpoint and does the accounting of its resources. It
//! starts the runs that entries order, renews their lease, stops the runs of entries that time
//! out, and reports to entries how their runs ended.
//!
//! The core is a deterministic state machine without clock, sockets or threads: it takes an
//! [`Event`] with the current time and returns [`Effect`]s for the event loop to carry out.

mod call;
mod cold;
mod crashes;
mod endpoint;
mod entries;
mod grants;
mod guard;
mod health;
mod instance;
mod limits;
mod progress;
mod removal;
mod runs;

pub use crate::{
    call::{Answer, Call, CallKind, EndedRun, Rejection, RunOutcome, RunningRun, Snapshot},
    guard::{Effect, Event, Guard, Heartbeat, HeartbeatState, Options, ZoneState},
    instance::Instance,
    limits::{
        CALL_TIMEOUT_MS, ENTRY_EXPIRY_MS, ENTRY_SILENCE_MS, LEASE_MS, MAX_ORDER_AGE_MS, RENEW_MS,
        SUSPENDED_MS, Timing,
    },
};
