//! Stand-in for the platform's append-only log.
//!
//! Keeps records in memory and serves the protocol of `docs/PLATFORM.md` on a
//! port of 127.0.0.1. Its handle switches faults on and off.

mod faults;
mod http;
mod server;
mod shared;
mod store;

pub use self::server::LogServer;
