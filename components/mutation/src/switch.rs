//! The switch, one for each thread.

use std::cell::Cell;

use crate::Mechanism;

thread_local! {
    static OFF: Cell<Option<Mechanism>> = const { Cell::new(None) };
}

/// Whether the mechanism is switched off on this thread.
pub fn is_off(mechanism: Mechanism) -> bool {
    OFF.get() == Some(mechanism)
}

/// Does `work` with the mechanism switched off on this thread.
pub fn without<T>(mechanism: Mechanism, work: impl FnOnce() -> T) -> T {
    let before = OFF.replace(Some(mechanism));
    let result = work();
    OFF.set(before);
    result
}
