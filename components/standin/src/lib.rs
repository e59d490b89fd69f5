//! Small stand-ins for the platform and the endpoints, for tests, the quickstart
//! and trials by hand.

pub mod control;
pub mod executor;
mod fault;
pub mod log;
mod serve;
pub mod worker;
