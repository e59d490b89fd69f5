//! One file for each sub-command.

pub mod capacity;
pub mod compare;
pub mod cost;
pub mod policies;
