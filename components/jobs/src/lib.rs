//! Runs jobs at the agent that owns their ids.
//!
//! A job is answered whole or it has failed: the first task that fails, or of
//! which it is not known whether it ran, ends the job, and its other tasks are
//! stopped. A task that may have been started is never started again. The
//! caller of this crate records an outcome in its ledger before it answers, and
//! asks the ledger, not [`Jobs`], about jobs that have ended.
//!
//! Tasks that find no room wait. Jobs wait in the order of their urgency and
//! age; a smaller job may overtake one that finds no room, until that one has
//! used up half of its time.

mod action;
mod decision;
mod job;
mod jobs;
mod refusal;
mod results;
mod waiting;
mod wakes;

pub use crate::{
    action::{Action, TaskResult},
    jobs::Jobs,
};
