//! HTTP front end for callers and operators.
//!
//! A request is read and parsed completely before it goes to the core of the
//! entry, and responses are rendered without streaming. Invalid input is answered
//! with a JSON error that names the field and the value.

mod body;
mod error;
mod events;
mod limits;
mod pages;
mod parse;
mod refuse;
mod render;
mod routes;
mod server;

pub use crate::{
    events::CallerEvent,
    limits::Limits,
    pages::{Pages, Readiness},
    server::{HttpServer, serve},
};
