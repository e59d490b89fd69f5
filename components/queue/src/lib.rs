//! Slots of an endpoint and the queue in front of them.
//!
//! A request is refused at once if the queue is full or the predicted wait
//! passes its deadline. Queued requests start by rank, then by the fair shares
//! of teams, then by earliest deadline; every few starts the one that has
//! waited longest goes first, so that nothing waits for ever.

mod fair;
mod forecast;
mod item;
mod order;
mod queue;

pub use crate::{
    item::{Cause, Item, Rejection, TeamKey},
    queue::Queue,
};
