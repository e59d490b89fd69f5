//! The HTTP side that callers and operators see.
//!
//! A request is parsed whole before it reaches the core of the entry; the reply
//! of the core is rendered whole. Everything that a caller may get wrong is
//! answered by a JSON error that names the field and the value.

mod body;
mod connection;
mod error;
mod limits;
mod pages;
mod parse;
mod refuse;
mod render;
mod report;
mod routes;
mod server;

pub use crate::{
    limits::Limits,
    pages::{Pages, Readiness},
    report::FromCaller,
    server::{Front, serve},
};
