//! Coordinates jobs on the agent that owns their ids.
//!
//! A job succeeds as a whole or fails as a whole: the first task that fails, or
//! of which it is unknown whether it ran, ends the job, and the other tasks are
//! stopped. A task that may have been started is never started again. The agent
//! records an outcome in its ledger before it answers; jobs that have ended are
//! found in the ledger, not in [`Jobs`].
//!
//! A task waits while no worker has enough free capacity for it. Waiting jobs are
//! ordered by urgency and age. A smaller job may overtake one that does not fit at
//! present (backfilling), until the job at the head of the queue has used up half of
//! its time budget.

mod action;
mod decision;
mod job;
mod jobs;
mod refusal;
mod results;
mod timers;
mod wait_queue;

pub use crate::{
    action::{Action, TaskResult},
    jobs::Jobs,
};
