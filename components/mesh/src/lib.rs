//! Messages between entries and agents, and discovery of processes.
//!
//! All messages are datagrams, so there are no connections that can hang. Commands and
//! notices are retransmitted until they are acknowledged and are delivered exactly once, in
//! order ([`Channel`]); the rest of a datagram is state, of which only the newest is used.

mod channel;
mod crashes;
mod evacuations;
mod member;
mod message;
mod uptime;

pub use crate::{
    channel::{Accepted, Channel, RETRANSMIT_MS},
    crashes::{Crash, CrashState, CrashedTask, Crashes, CrashesSeen},
    evacuations::Evacuations,
    member::{Member, Members, Role},
    message::{
        Command, ConfigPart, Datagram, DecodeError, End, EndpointInfo, EntryState, Frame, Health,
        Hello, JobId, MAX_DATAGRAM_BYTES, Notice, Refusal, Report, RunKey, StartOrder, decode,
        encode,
    },
    uptime::Uptime,
};
