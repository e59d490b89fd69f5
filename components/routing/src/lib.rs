//! Choice of an agent by predicted response time.
//!
//! Every node that sends requests keeps a [`Router`] of its own. It learns run
//! times and loads from reports and replies, adds what it has sent since, and
//! chooses at random among the agents that would answer about equally soon, so
//! that several routers which do not see each other do not herd. Agents that
//! fail or lag behind their group are ejected, up to a share of the group, and
//! come back after a probation with few trial requests.

mod agent;
mod choose;
mod health;
mod inventory;
mod pool;
mod review;
mod router;
mod run_time;
mod sample;

pub use crate::{
    choose::{Choice, Want},
    router::Router,
    sample::{Sample, SampleOutcome},
};
