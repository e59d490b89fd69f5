//! Clients of an agent's endpoint.
//!
//! Each request has exclusive use of an HTTP/1.1 connection while it runs, so an
//! answer cannot be taken for that of another request. A connection that has been
//! idle is probed before it is used again. An error tells whether any byte of the
//! request may have reached the endpoint.

mod connection;
mod executor;
mod pool;
mod starts;
mod worker;

pub use crate::{
    executor::{Executed, Executor},
    worker::{StartError, Usage, Worker, WorkerError},
};
