//! Logging as lines of JSON, including one line for each routing or placement decision.

mod budget;
mod decision;
mod queue;
mod rate_limit;
mod setup;

pub use crate::{
    budget::{Budget, Kind},
    decision::{DECISION_TARGET, log_decision},
    queue::{LineReceiver, LineSender, MAX_LINE_BYTES, QUEUE_BYTES, line_queue},
    rate_limit::init_rate_limited,
    setup::{init_file, init_stdout},
};
