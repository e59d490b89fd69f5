//! Messages between the processes of the system, encoded by postcard.
//!
//! A TCP connection carries [`Frame`]s, each behind a four-byte length; calls
//! and replies are matched by [`CallId`], never by order. Heartbeats and gossip
//! travel as single UDP datagrams, see [`Datagram`].

mod datagram;
mod frame;
mod message;

pub use crate::{
    datagram::{AgentReport, Datagram, Promise, Silence},
    frame::{CallId, Frame, MAX_FRAME_BYTES, WireError, decode, encode},
    message::{
        Call, Cancel, Fetch, HandOver, JobSpec, JobStatus, Load, Reply, Run, RunReply, Snapshot,
        StartTask, Status, TaskSpec,
    },
};
