//! The inventory and rules that operators publish.
//!
//! [`Inventory::parse`] parses TOML and validates it as a whole; an inventory that
//! it returns satisfies every check. The result depends on nothing but the text, so
//! that all processes accept or reject the same texts.

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
