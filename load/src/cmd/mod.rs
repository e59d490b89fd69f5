//! One file for each sub-command.

pub mod compare;
pub mod cost;
