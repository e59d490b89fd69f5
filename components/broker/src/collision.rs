//! Cost of the chance that other entries take the room of an endpoint before an order arrives.
//!
//! Fast endpoints would otherwise be filled to the last task by all entries at the same time,
//! each by a report from before the others' orders.

/// Penalty for room that is certain to be gone, in percent of the run time.
const MAX_PENALTY_PERCENT: f64 = 100.0;
/// Tasks by which the room changes unseen while a fresh report is on its way.
const BASE_CHANGE: f64 = 0.2;
/// Tasks by which the room changes per ms of the report's age. An endpoint starts and ends some
/// 50 tasks a second each, in groups.
const CHANGE_PER_MS: f64 = 0.03;
/// Tasks that fit without being counted as room: the one to place counts half.
const OWN_TASK: f64 = 0.5;

/// Penalty for room of `free` thousandths of a core, by a report that is `age` ms old, in percent
/// of the run time of a task that needs `cpu`.
pub(crate) fn collision_penalty(free: u32, cpu: u32, age: u64) -> u64 {
    let tasks = f64::from(free) / f64::from(cpu.max(1)) - OWN_TASK;
    let change = BASE_CHANGE + CHANGE_PER_MS * age as f64;
    let taken = (-tasks / change).exp().min(1.0);
    (MAX_PENALTY_PERCENT * taken) as u64
}
