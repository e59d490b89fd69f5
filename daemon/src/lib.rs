//! The shell around the cores of both roles.
//!
//! The cores decide; the shell owns sockets and timers. One `ractor` actor for
//! each node owns its core: whatever arrives becomes an event in its mailbox,
//! and the effects that the core returns are carried out by tasks which send
//! further events back. Several nodes can run in one process, which tests, the
//! load tool and the quickstart make use of.

mod actor;
mod core;
mod endpoint;
mod explain;
mod inbox;
mod lines;
mod listen;
mod options;
mod replica;
mod running;
mod shared;
mod shell;
mod start;
mod tasks;

pub use crate::{
    listen::{AgentListeners, EntryListeners, NodeListeners},
    options::{AgentOptions, EntryOptions},
    running::{ProgressHandle, Running},
    shared::Progress,
    start::{start_agent, start_entry},
};
