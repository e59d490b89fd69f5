//! Messages between nodes, encoded with postcard.
//!
//! A TCP connection carries [`Frame`]s, each prefixed with a four-byte length;
//! replies are matched to calls by [`CallId`], never by order. Heartbeats and
//! gossip are sent as single UDP datagrams, see [`Datagram`].
//!
//! postcard encodes fields and variants by position, so their order is part of
//! the format. [`AgentReport`] and [`TaskSpec`] are also exchanged as JSON over
//! HTTP, by the names of their fields.

mod datagram;
mod frame;
mod message;

pub use crate::{
    datagram::{AgentReport, Datagram, Promise, Suspicion},
    frame::{CallId, Frame, MAX_FRAME_BYTES, WireError, decode, encode},
    message::{
        Call, Cancel, Fetch, HandOver, JobSpec, JobStatus, Load, Reply, Run, RunReply, Snapshot,
        StartTask, Status, TaskSpec,
    },
};
