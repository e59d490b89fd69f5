//! Fakes of the platform's log and of endpoints, for tests, the quickstart and
//! manual testing.

pub mod control;
pub mod executor;
mod fault;
pub mod log;
mod serve;
pub mod worker;
