//! Decisions of an entry: which jobs are taken, in which order they wait, and where their
//! tasks run.
//!
//! An entry answers a job when all its tasks have ended, so it coordinates the job until
//! then and keeps nothing afterwards. Room is kept by the agents; an entry places by their
//! reports, and an agent that has no room refuses.
//!
//! The core has no clock and no sockets: an [`Event`] and a time go in, and [`Effect`]s come
//! out.

mod agents;
mod backlog;
mod broker;
mod config;
mod estimate;
mod job;
mod limits;
mod place;
mod policy;
mod queue;
mod share;

pub use crate::{
    broker::{Broker, Effect, Event, Options, Reply, Status},
    config::{Config, Limits, Route},
    job::{Step, Submission},
    limits::{AGENT_SILENCE_MS, PROBE_MS, RUNS_OVER_MS, SUSPENDED_MS},
    policy::{Order, Policy},
};
