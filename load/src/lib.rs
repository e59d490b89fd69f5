//! A whole system in one process, on loopback, callers for it, and baselines.
//!
//! The nodes are the daemon's own code with its real sockets; the platform's
//! log, the executors and the workers are the stand-ins.

pub mod baseline;
mod caller;
pub mod central;
mod cluster;
pub mod measure;
pub mod scenario;
pub mod system;
pub mod tally;
pub mod workload;

pub use crate::{
    caller::{Answer, Caller, Submission},
    cluster::{Cluster, Endpoint, Host, Plan},
};
