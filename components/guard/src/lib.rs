//! Decisions of the agent beside an endpoint.
//!
//! The agent is the only caller of its endpoint, so it alone keeps the endpoint's room.
//! It starts what entries order, renews the lease of what runs, stops what belongs to an
//! entry that has gone silent, and tells entries how their runs ended.
//!
//! The core has no clock and no sockets: an [`Event`] and a time go in, and [`Effect`]s come
//! out.

mod call;
mod endpoint;
mod entries;
mod guard;
mod health;
mod limits;
mod runs;

pub use crate::{
    call::{Answer, Call, CallKind, EndedRun, EndpointEnd, Look, Rejection, RunningRun},
    guard::{Effect, Event, Guard, Heartbeat, HeartbeatState, Options},
    limits::{
        CALL_TIMEOUT_MS, ENTRY_SILENCE_MS, LEASE_MS, MAX_ORDER_AGE_MS, RENEW_MS, SUSPENDED_MS,
        Timing,
    },
};
