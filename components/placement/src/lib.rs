//! Chooses workers for the tasks of jobs.
//!
//! A [`Placer`] knows the workers of the inventory, the nodes that announced
//! themselves beside them, what it has reserved itself, and what their lagging
//! reports say of the rest. Coordinators don't see each other's reservations;
//! a worker that is full refuses the start, and the task goes elsewhere.
//!
//! A job is whole or failed, so one lost worker loses it, and one slow worker
//! delays it. Both chances grow with the number of workers that a job uses, so
//! its tasks are packed on few. But coordinators that all fill the workers that
//! look empty are refused, and each refusal costs a message and a round trip.
//! Three rules keep refusals rare: a job takes a quarter of a worker's room at a
//! time; reports fade quickly to the average of all workers; and a placement
//! compares no more than two workers, from a random position on. The tighter of
//! the two is taken, which keeps large holes for large tasks.

mod fit;
mod health;
mod pack;
mod pass;
mod pending;
mod placer;
mod reports;
mod resources;
mod score;
mod worker;

pub use crate::{
    fit::CannotFit,
    health::Health,
    placer::{Choice, Placement, Placer},
    resources::Resources,
};
