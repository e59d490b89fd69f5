//! What entries and agents say to each other, and how they find each other.
//!
//! All messages are datagrams, so no connection can go silent. Commands and notices are
//! resent until they are acknowledged and are delivered once, in order ([`Channel`]); the
//! rest of a datagram is state, of which only the newest counts.

mod channel;
mod member;
mod message;
mod uptime;

pub use crate::{
    channel::{Accepted, Channel, RESEND_MS},
    member::{Member, Members, Role},
    message::{
        Command, Datagram, DecodeError, End, EndpointInfo, EntryState, Frame, Health, Hello, JobId,
        MAX_DATAGRAM, Notice, Refusal, Report, RunKey, StartOrder, decode, encode,
    },
    uptime::Uptime,
};
