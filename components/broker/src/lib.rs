//! Scheduler of an entry: which jobs are admitted, in which order they wait, and where their
//! tasks run.
//!
//! An entry answers a job once all its tasks have ended. It coordinates the job until then,
//! and afterwards only remembers the answer for a short time. Agents account for the capacity
//! of their endpoints. An entry places tasks by the agents' reports, which may be out of date;
//! an agent without free capacity refuses a run.
//!
//! The core does no I/O and reads no clock: [`Broker::handle`] takes an [`Event`] and the
//! current time, and returns [`Effect`]s for the event loop to carry out.

mod agents;
mod backlog;
mod broker;
mod candidates;
mod collision;
mod config;
mod crashes;
mod estimate;
mod job;
mod limits;
mod locality;
mod orders;
mod policy;
mod queue;
mod returned;
mod share;
mod watch;

pub use crate::{
    broker::{Broker, Effect, Event, Options, Reply, Status},
    config::{Config, Limits, Route},
    crashes::VerdictCounts,
    job::{Step, Submission},
    limits::{
        AGENT_RETENTION_MS, AGENT_SILENCE_MS, PROBE_MS, RUN_EXPIRY_MS, SETTLE_MS, SUSPENDED_MS,
    },
    orders::OrderCounts,
    policy::{Policy, QueueOrder},
    watch::MIN_WATCHED,
};
