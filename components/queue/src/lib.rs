//! Queue of requests in front of the slots of an endpoint.
//!
//! A request is refused at once if the queue is full or it would miss its
//! deadline by the predicted wait and run time. Queued requests start by rank,
//! then by fair shares of their teams, then by due time, which is the deadline
//! or, if that is earlier, a few run times after the arrival. To prevent
//! starvation, every few starts the request that has waited longest goes first.
//! While short requests come in, long ones may not take all slots.

mod fair;
mod forecast;
mod item;
mod order;
mod queue;
mod short_load;
mod slowdown;

pub use crate::{
    item::{Cause, Item, Rejection, TeamKey},
    queue::Queue,
};
