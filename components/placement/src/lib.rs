//! Chooses workers for the tasks of jobs.
//!
//! A [`Placer`] knows the workers of the inventory, the nodes that announced
//! themselves beside them, what it has reserved itself, and what their lagging
//! reports say of the rest. Coordinators don't see each other's reservations;
//! a worker that is full refuses the start, and the task goes elsewhere.

mod fit;
mod health;
mod placer;
mod resources;

pub use crate::{
    fit::CannotFit,
    health::Health,
    placer::{Choice, Placement, Placer},
    resources::Resources,
};
