//! A model of a deployment that drives the decisions which ship.
//!
//! Callers, entries, agents, endpoints and the network between them are simulated by
//! discrete events from one seed. The entries and agents are the real cores ([`broker`] and
//! [`guard`]); everything else is modelled: datagrams are delayed and lost, endpoints keep
//! leases and answer or don't, hosts freeze, crash and are cut off, and callers send a job
//! again when they get no answer.
//!
//! While it runs, the model checks what must hold: no two runs of a task at a time, no
//! endpoint over its capacity, and no refusal of a job that has run.

mod callers;
mod endpoint;
mod fault;
mod load;
mod report;
mod world;
mod worth;

pub use crate::{
    fault::{Fault, FaultKind},
    load::{Burst, Kind, Load},
    report::{KindReport, Report, Violation, Worth},
    world::{World, WorldOptions},
};
