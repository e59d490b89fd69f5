//! Chooses workers for the tasks of jobs.
//!
//! A [`Placer`] knows the workers of the inventory, the nodes that announced
//! themselves beside them, what it has reserved itself, and what their lagging
//! reports say of the rest. Coordinators don't see each other's reservations;
//! a worker that is full refuses the start, and the task goes elsewhere.
//!
//! A job is whole or failed, so one lost worker loses it, and one slow worker
//! delays it. Both chances grow with the number of workers that a job uses.
//! The tasks of a job are therefore packed on as few workers as possible: on
//! the one that they fit most tightly, which keeps large holes for large jobs,
//! or else on the one with the most room. Load is spread between jobs instead:
//! each placement compares a few workers from a random position on.

mod fit;
mod health;
mod pending;
mod placer;
mod resources;
mod score;
mod worker;

pub use crate::{
    fit::CannotFit,
    health::Health,
    placer::{Choice, Placement, Placer},
    resources::Resources,
};
