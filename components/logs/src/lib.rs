//! Log lines in JSON, one for each routing or placement decision among them.

mod bounded;
mod decision;
mod setup;

pub use crate::{
    bounded::init_bounded,
    decision::{DECISION_TARGET, decision},
    setup::{init_file, init_stdout},
};
