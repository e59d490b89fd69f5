//! Interface between the state machine of a node (the core) and its shell.
//!
//! The cores of both roles do no I/O: each takes an [`Event`] and the time, and
//! returns [`Effect`]s. The shell owns sockets and timers, turns input into events
//! and performs the effects. Tests run the same cores without a shell.

mod caller;
mod decision;
mod effect;
mod event;

pub use crate::{
    caller::{CallerReply, CallerRequest, Job, NodeStatus, Request},
    decision::{Candidate, Decision, Step},
    effect::Effect,
    event::{CallToken, CallerToken, Event, ExecToken, LinkError, ReplyTo, TaskToken},
};
