//! Load balancing by predicted response time.
//!
//! Every node that sends requests has its own [`Router`], which estimates run
//! times and loads from reports and replies and counts the requests that it has
//! sent since. It chooses at random among the agents with about the same
//! predicted response time, so that routers which do not see each other's
//! requests do not all choose the same agent. Agents that fail more often or run
//! slower than their group are ejected, up to a share of the group. After that they
//! are half-open and get one trial request at a time; they return when a few in a
//! row have succeeded.

mod agent;
mod choose;
mod health;
mod inventory;
mod outliers;
mod pool;
mod result;
mod router;
mod run_time;

pub use crate::{
    choose::{Choice, Criteria},
    result::{RequestOutcome, RequestResult},
    router::Router,
};
