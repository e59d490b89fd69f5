//! Sub-commands, one module each.

pub mod capacity;
pub mod compare;
pub mod cost;
pub mod policies;
