//! Small stand-ins for the platform and the endpoints, for tests and the quickstart.

pub mod executor;
mod fault;
pub mod log;
mod serve;
pub mod worker;
