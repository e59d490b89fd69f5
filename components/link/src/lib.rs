//! Transport between nodes.
//!
//! Calls travel over TCP in postcard frames with a four-byte length prefix. Each
//! side first sends a hello with its identity. Replies are matched to calls by
//! number, not by order, so they may be late or out of order. Every connection has
//! its own heartbeat, because an open connection may stop carrying data permanently.
//! Membership messages travel as single UDP datagrams, see [`udp`].

mod channel;
mod connection;
mod dial;
mod heartbeat;
mod peers;
mod server;
pub mod udp;

pub use crate::{
    peers::Peers,
    server::{IncomingCall, Server},
};
