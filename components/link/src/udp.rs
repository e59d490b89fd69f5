//! UDP datagrams between nodes.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use ident::NodeId;
use tokio::{net::UdpSocket, sync::Mutex};
use wire::{Datagram, decode, encode};

/// Largest encoded datagram: the largest payload of UDP over IPv4.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

/// A UDP socket that sends and receives encoded datagrams.
pub struct Socket {
    socket: UdpSocket,
    buffer: Mutex<Box<[u8]>>,
    malformed: AtomicU64,
}

impl Socket {
    /// Binds a socket to `address`.
    pub async fn bind(address: SocketAddr) -> io::Result<Socket> {
        UdpSocket::bind(address).await.map(Socket::new)
    }

    /// Wraps a bound socket.
    pub fn new(socket: UdpSocket) -> Socket {
        let buffer = vec![0; MAX_DATAGRAM_BYTES].into_boxed_slice();
        Socket { socket, buffer: Mutex::new(buffer), malformed: AtomicU64::new(0) }
    }

    /// Address that the socket is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram; delivery is not guaranteed.
    pub async fn send(&self, to: NodeId, datagram: &Datagram) -> io::Result<()> {
        let bytes = encode(datagram);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            let len = bytes.len();
            return Err(io::Error::other(format!(
                "the datagram has {len} bytes; at most {MAX_DATAGRAM_BYTES} fit"
            )));
        }
        self.socket.send_to(&bytes, to.0).await.map(|_| ())
    }

    /// Receives the next valid datagram; others are counted and dropped.
    pub async fn receive(&self) -> io::Result<Datagram> {
        let mut buffer = self.buffer.lock().await;
        loop {
            let (len, _) = self.socket.recv_from(&mut buffer).await?;
            match decode("datagram", &buffer[..len]) {
                Ok(datagram) => return Ok(datagram),
                Err(_) => self.malformed.fetch_add(1, Ordering::Relaxed),
            };
        }
    }

    /// Number of received datagrams that could not be decoded.
    pub fn malformed(&self) -> u64 {
        self.malformed.load(Ordering::Relaxed)
    }
}
