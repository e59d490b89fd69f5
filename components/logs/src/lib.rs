//! Logging as lines of JSON, including one line for each routing or placement decision.

mod bounded;
mod decision;
mod setup;

pub use crate::{
    bounded::init_bounded,
    decision::{DECISION_TARGET, decision},
    setup::{init_file, init_stdout},
};
