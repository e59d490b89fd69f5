//! Connections between nodes.
//!
//! Calls travel over TCP in postcard frames behind a four-byte length. Each
//! side first says who it is. Calls are matched with their replies by number,
//! never by order, so late and crossed replies do no harm. Every connection has
//! heartbeats of its own, since an open connection may go silent for good.
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
    server::{Incoming, Server},
};
