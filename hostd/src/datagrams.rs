//! The socket for datagrams between processes.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use eyre::{Context, Result};
use mesh::{Datagram, MAX_DATAGRAM_BYTES, decode, encode};
use tokio::{net::UdpSocket, time::sleep};

/// Pause after the socket has failed.
const PAUSE: Duration = Duration::from_millis(20);

/// Sends and receives datagrams; clones share the socket.
#[derive(Clone)]
pub(crate) struct Datagrams {
    socket: Arc<UdpSocket>,
}

impl Datagrams {
    /// Binds the socket.
    pub(crate) async fn bind(address: SocketAddrV4) -> Result<Datagrams> {
        let socket = UdpSocket::bind(address)
            .await
            .with_context(|| format!("datagrams cannot be received at {address}"))?;
        Ok(Datagrams { socket: Arc::new(socket) })
    }

    /// Sends a datagram, which may be lost like any other.
    pub(crate) fn send(&self, to: SocketAddrV4, datagram: &Datagram) {
        let bytes = encode(datagram);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            log::error!(to:% = to, bytes = bytes.len(); "a datagram is too large to be sent");
            return;
        }
        if let Err(err) = self.socket.try_send_to(&bytes, SocketAddr::V4(to)) {
            log::debug!(to:% = to, error:% = err; "a datagram was not sent");
        }
    }

    /// Passes on what arrives until `sink` returns false.
    pub(crate) async fn receive(self, mut sink: impl FnMut(SocketAddrV4, Datagram) -> bool) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1_024];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok((length, SocketAddr::V4(from))) => (length, from),
                Ok((_, SocketAddr::V6(_))) => continue,
                Err(err) => {
                    log::warn!(error:% = err; "the socket for datagrams failed");
                    sleep(PAUSE).await;
                    continue;
                }
            };
            match decode(&buffer[..length]) {
                Ok(datagram) => {
                    if !sink(from, datagram) {
                        return;
                    }
                }
                Err(err) => log::warn!(from:% = from, error:% = err; "a datagram is left out"),
            }
        }
    }
}
