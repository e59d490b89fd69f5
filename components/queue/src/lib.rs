//! Slots of an endpoint and the queue in front of them.
//!
//! A request is refused at once if the queue is full or the predicted wait
//! passes its deadline. Queued requests start by rank, then by the fair shares
//! of teams, then by due time, which is the deadline or, if that is earlier, a
//! few run times after the arrival. Every few starts the one that has waited
//! longest goes first, so that nothing waits for ever. While short requests
//! come in, long ones may not take all slots.

mod fair;
mod forecast;
mod item;
mod mix;
mod order;
mod pace;
mod queue;

pub use crate::{
    item::{Cause, Item, Rejection, TeamKey},
    queue::Queue,
};
