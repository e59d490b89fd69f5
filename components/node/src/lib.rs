//! What the core of a node and its shell exchange.
//!
//! The cores of both roles are pure: an [`Event`] and a time go in, [`Effect`]s
//! come out. The shell owns sockets and timers, turns what arrives into events
//! and carries the effects out. Tests drive the same cores without a shell.

mod caller;
mod decision;
mod effect;
mod event;

pub use crate::{
    caller::{CallerReply, CallerRequest, Job, NodeStatus, Request},
    decision::{Candidate, Decision, Step},
    effect::Effect,
    event::{CallerToken, Event, ExecToken, LinkError, PeerToken, ReplyTo, TaskToken},
};
