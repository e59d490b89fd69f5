//! Runtime of the entries and agents.
//!
//! The core of a node makes its decisions and does no I/O; the shell around it
//! owns the sockets and timers. Each node has one `ractor` actor, which owns the
//! core: whatever arrives becomes an event in the actor's mailbox, and the effects
//! that the core returns are performed by tasks, which send further events back.
//! Several nodes can run in one process; tests, the load tool and the quickstart
//! rely on that.

mod actor;
mod core;
mod decision_log;
mod endpoint;
mod handle;
mod history;
mod listen;
mod mailbox;
mod options;
mod replica;
mod shared;
mod shell;
mod spawner;
mod start;

pub use crate::{
    handle::{NodeHandle, ProgressHandle},
    listen::{AgentListeners, EntryListeners, NodeListeners},
    options::{AgentOptions, EntryOptions},
    shared::Progress,
    start::{start_agent, start_entry},
};
