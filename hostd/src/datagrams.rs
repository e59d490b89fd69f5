//! UDP socket for messages between processes.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use eyre::{Context, Result};
use intake::{Budget, Reservation};
use mesh::{Datagram, MAX_DATAGRAM_BYTES, decode, encode};
use tokio::{net::UdpSocket, time::sleep};

/// Memory for a received datagram until it is handled, in multiples of its size: a byte can decode to
/// many in memory.
const DECODED_FACTOR: usize = 8;
/// Memory for a received datagram beyond that, in bytes.
const DECODED_BYTES: usize = 256;
/// Delay before the next receive after an error of the socket.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Sends and receives datagrams; clones share the socket.
#[derive(Clone)]
pub(crate) struct DatagramSocket {
    socket: Arc<UdpSocket>,
}

impl DatagramSocket {
    /// Binds the socket.
    pub(crate) async fn bind(address: SocketAddrV4) -> Result<DatagramSocket> {
        let socket = UdpSocket::bind(address)
            .await
            .with_context(|| format!("datagrams cannot be received at {address}"))?;
        Ok(DatagramSocket { socket: Arc::new(socket) })
    }

    /// Sends a datagram without waiting; errors are logged and the datagram is dropped.
    pub(crate) fn send(&self, to: SocketAddrV4, datagram: &Datagram) {
        let bytes = encode(datagram);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            log::error!(to:% = to, bytes = bytes.len(); "dropping a datagram that exceeds the maximum size");
            return;
        }
        if let Err(err) = self.socket.try_send_to(&bytes, SocketAddr::V4(to)) {
            log::debug!(to:% = to, error:% = err; "sending a datagram failed");
        }
    }

    /// Passes received datagrams to `sink` until it returns false.
    ///
    /// Those that are not handled yet hold a reservation of `memory`. While there is none, datagrams
    /// wait in the socket, whose buffer is bounded by the kernel.
    pub(crate) async fn receive(
        self,
        memory: Budget,
        mut sink: impl FnMut(SocketAddrV4, Datagram, Reservation) -> bool,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1_024];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok((length, SocketAddr::V4(from))) => (length, from),
                Ok((_, SocketAddr::V6(_))) => continue,
                Err(err) => {
                    log::warn!(error:% = err; "receiving a datagram failed");
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            let reservation = memory.reserve(length * DECODED_FACTOR + DECODED_BYTES).await;
            match decode(&buffer[..length]) {
                Ok(datagram) => {
                    if !sink(from, datagram, reservation) {
                        return;
                    }
                }
                Err(err) => {
                    log::warn!(from:% = from, error:% = err; "ignoring a datagram that cannot be decoded")
                }
            }
        }
    }
}
