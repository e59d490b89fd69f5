//! Small stand-ins for the platform and the endpoints, for tests and the quickstart.

pub mod executor;
pub mod log;
pub mod worker;
