//! Mechanisms that tests can switch off, to show that a scenario notices.
//!
//! The cores ask [`is_off`] at the place of each mechanism. Without the feature
//! `mutation`, which no shipped binary has, the answer is a constant `false`.

mod mechanism;
#[cfg(feature = "mutation")]
mod switch;

pub use crate::mechanism::Mechanism;
#[cfg(feature = "mutation")]
pub use crate::switch::{is_off, without};

/// Whether the mechanism is switched off; it never is in shipped binaries.
#[cfg(not(feature = "mutation"))]
#[inline]
pub const fn is_off(_mechanism: Mechanism) -> bool {
    false
}
