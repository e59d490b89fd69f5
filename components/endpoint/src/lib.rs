//! Clients of the endpoint beside an agent.
//!
//! Each request has an HTTP/1.1 connection to itself while it runs, so that an
//! answer can only belong to that request. A connection that has been idle
//! proves itself alive before it takes another one. An error says whether any
//! byte of the request may have reached the endpoint.

mod connection;
mod executor;
mod pool;
mod starts;
mod worker;

pub use crate::{
    executor::{Executed, Executor},
    worker::{StartError, Usage, Worker, WorkerError},
};
