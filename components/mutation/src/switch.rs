//! Disabled mechanism of each thread.

use std::cell::Cell;

use crate::Mechanism;

thread_local! {
    static OFF: Cell<Option<Mechanism>> = const { Cell::new(None) };
}

/// Whether the mechanism is disabled on this thread.
pub fn is_disabled(mechanism: Mechanism) -> bool {
    OFF.get() == Some(mechanism)
}

/// Runs `work` with the mechanism disabled on this thread.
pub fn without<T>(mechanism: Mechanism, work: impl FnOnce() -> T) -> T {
    let before = OFF.replace(Some(mechanism));
    let result = work();
    OFF.set(before);
    result
}
