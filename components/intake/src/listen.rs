//! Listening sockets with bounded buffers.

use std::{io, net::SocketAddr};

use nix::sys::socket::{setsockopt, sockopt::ReceiveTimestampns};
use tokio::net::{TcpListener, TcpSocket};

/// Receive buffer of a client's connection, in bytes; the kernel doubles it for its own accounts.
/// Without it the kernel takes up to some MB for a client that sends more than is read.
const RECEIVE_BYTES: u32 = 8 * 1_024;
/// Send buffer of a connection, in bytes, for answers that the client has not received.
const SEND_BYTES: u32 = 64 * 1_024;

/// Listens at an address, with up to `backlog` connections that wait to be accepted.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Connections inherit the options of their listener.
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.set_send_buffer_size(SEND_BYTES)?;
    if let Err(err) = setsockopt(&socket, ReceiveTimestampns, &true) {
        log::warn!(address:% = address, error:% = err; "the kernel does not tell when bytes arrive; they count from their read");
    }
    socket.bind(address)?;
    socket.listen(backlog)
}
