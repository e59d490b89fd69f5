//! Deterministic simulation tests of the production cores under faults, in virtual time.
//!
//! A [`Script`] in the scenario language is run by a [`World`], which simulates the network, the
//! platform's log, the endpoints and the callers. Everything else is production code: the cores
//! of entries and agents. A run depends only on the script and its inventory, so it always gives
//! the same [`Report`].

mod callers;
mod check;
mod endpoint;
mod fleet;
mod log;
mod net;
mod report;
mod script;
mod world;

pub use crate::{
    report::{Line, Report, Tally},
    script::{
        Action, Change, Compare, Expect, Fault, LogFault, Script, ScriptError, SendOptions, Step,
    },
    world::{PlayError, World},
};
