//! Scenarios: the shipped cores under faults, in virtual time.
//!
//! A [`Script`] in the scenario language is played by a [`World`], which stands
//! in for the network, the platform's log, the endpoints and the callers. Only
//! these are fakes; entries and agents are the cores that ship. A run depends on
//! the script alone, so it gives the same [`Report`] every time.

mod check;
mod endpoint;
mod fleet;
mod log;
mod net;
mod play;
mod report;
mod script;
mod world;

pub use crate::{
    report::{Line, Report, Tally},
    script::{
        Action, Change, Compare, Expect, Fault, LogFault, Script, ScriptError, Sending, Step,
    },
    world::{PlayError, World},
};
