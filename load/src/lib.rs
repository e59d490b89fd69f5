//! A complete system in one process on loopback, clients for it, and baselines to
//! compare it with.
//!
//! The nodes run the daemon's code on real sockets; the platform's log, the
//! executors and the workers are stand-ins.

pub mod baseline;
mod caller;
pub mod central;
mod cluster;
pub mod measure;
pub mod scenario;
pub mod stats;
pub mod system;
pub mod workload;

pub use crate::{
    caller::{Answer, Caller, Submission},
    cluster::{Cluster, ClusterOptions, Endpoint, Host},
};
