//! Placement of the tasks of jobs on workers.
//!
//! A [`Placer`] has the workers of the inventory, the nodes that report for them,
//! its own reservations, and the load of other coordinators according to the
//! reports, which lag. Coordinators don't see each other's reservations; a worker
//! without enough room refuses the start, and the task is placed elsewhere. Room is
//! what is neither reserved here nor in use by others.
//!
//! A job succeeds only if all its tasks do, so the loss of one worker fails it, and
//! one slow worker delays it. Both become more likely with each worker that a job
//! uses, so its tasks are packed on few. But if all coordinators fill the workers
//! that look empty, many starts are refused, and each refusal costs a message and a
//! round trip. Three rules keep refusals rare: a job takes a quarter of a worker's
//! room at a time; reported load decays quickly to the average of all workers; and
//! a placement compares no more than two workers, starting from a random position.
//! The best fit of the two is taken, which keeps large gaps for large tasks.

mod fit;
mod health;
mod pack;
mod pass;
mod pending;
mod placer;
mod reported_load;
mod resources;
mod score;
mod worker;

pub use crate::{
    fit::CannotFit,
    health::Health,
    placer::{Choice, Placement, Placer},
    resources::Resources,
};
