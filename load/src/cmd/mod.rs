//! Sub-commands, one module each.

pub mod capacity;
pub mod compare;
pub mod cost;
mod placement;
pub mod policies;
