//! Discrete-event simulation of a deployment around the production decision cores.
//!
//! Callers, entries, agents, endpoints and the network are simulated deterministically from
//! one seed. Entries and agents run the production code ([`broker`] and [`guard`]);
//! everything else is modelled: datagrams are delayed and lost, endpoints hold leases and may
//! not answer, answer slowly or reject starts, hosts are suspended, crash and are partitioned,
//! and callers resend a job when they get no answer.
//!
//! During a simulation the model checks these invariants: a task never has two runs at the
//! same time, no endpoint exceeds its capacity, and no refused job has run. It also reports tasks
//! that start again after they were done.

mod callers;
mod endpoint;
mod fault;
mod fleet;
mod history;
mod load;
mod report;
mod simulation;
mod weighting;

pub use crate::{
    fault::{Fault, FaultKind},
    load::{Burst, HotRack, Kind, Load},
    report::{KindReport, Report, Violation, WeightedShares},
    simulation::{Simulation, SimulationOptions},
};
