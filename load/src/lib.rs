//! A whole system in one process, on loopback, and callers for it.
//!
//! The nodes are the daemon's own code with its real sockets; the platform's
//! log, the executors and the workers are the stand-ins.

mod caller;
mod cluster;

pub use crate::{
    caller::{Answer, Caller, Submission},
    cluster::{Cluster, Endpoint, Host, Plan},
};
