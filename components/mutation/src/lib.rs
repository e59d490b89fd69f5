//! Mutation testing: mechanisms that tests can disable, to prove that a scenario covers them.
//!
//! The cores call [`is_disabled`] where they implement a mechanism. Without the feature `mutation`,
//! which no released binary enables, it is a constant `false`.

mod mechanism;
#[cfg(feature = "mutation")]
mod switch;

pub use crate::mechanism::Mechanism;
#[cfg(feature = "mutation")]
pub use crate::switch::{is_disabled, without};

/// Whether the mechanism is disabled; never in released binaries.
#[cfg(not(feature = "mutation"))]
#[inline]
pub const fn is_disabled(_mechanism: Mechanism) -> bool {
    false
}
