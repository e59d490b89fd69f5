//! The inventory and rules that operators publish.
//!
//! An [`Inventory`] is parsed from TOML and checked as a whole; a value of this
//! type always satisfies every check, so that all processes reach the same
//! verdict on the same text.

mod check;
mod diff;
mod edit;
mod inventory;
mod locate;
mod problem;

pub use crate::{
    diff::{Change, FieldChange, diff},
    edit::{EditError, set_state},
    inventory::{
        AvailabilityZone, Executor, Inventory, Kind, Rack, Rules, Service, State, Team, Urgency,
        Worker,
    },
    problem::{CheckError, Problem},
};
