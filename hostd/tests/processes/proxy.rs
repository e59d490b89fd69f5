//! Proxies that inject network faults between processes on loopback.

use std::{
    collections::HashMap,
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// Fault of the datagrams of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Delivery {
    Clear,
    /// This fraction is lost in both directions.
    Lossy(f64),
    /// Each is delayed by a random time up to this in both directions, so order is not kept.
    Slow(Duration),
    /// Datagrams to the process are lost.
    ReceivesNothing,
    /// Datagrams from the process are lost.
    SendsNothing,
    /// All datagrams are lost.
    Cut,
}

/// Forwards datagrams between processes, with a public address for each of them.
pub(crate) struct DatagramProxy {
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    delivery: Mutex<Vec<Delivery>>,
    rng: Mutex<SmallRng>,
}

struct Node {
    /// Socket bound to the public address of the process.
    socket: UdpSocket,
    /// Address at which the process itself receives.
    address: SocketAddrV4,
}

impl DatagramProxy {
    /// Starts a proxy for processes with these pairs of public and own addresses.
    pub(crate) async fn start(
        addresses: &[(SocketAddrV4, SocketAddrV4)],
        seed: u64,
    ) -> Arc<DatagramProxy> {
        let mut nodes = Vec::new();
        for (public, address) in addresses {
            let socket = UdpSocket::bind(public).await.expect("a public address");
            nodes.push(Node { socket, address: *address });
        }
        let by_address =
            nodes.iter().enumerate().map(|(it, node)| (node.address.into(), it)).collect();
        let proxy = Arc::new(DatagramProxy {
            delivery: Mutex::new(vec![Delivery::Clear; nodes.len()]),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            nodes,
            by_address,
        });
        for node in 0..proxy.nodes.len() {
            tokio::spawn(Arc::clone(&proxy).relay(node));
        }
        proxy
    }

    /// Sets the fault of the datagrams of a process.
    pub(crate) fn set(&self, process: usize, delivery: Delivery) {
        self.delivery.lock().unwrap_or_else(PoisonError::into_inner)[process] = delivery;
    }

    /// Forwards the datagrams to one process.
    async fn relay(self: Arc<Self>, to: usize) {
        let mut buffer = vec![0; 65_536];
        loop {
            // Errors are ICMP refusals of a process that is down, and are ignored.
            let Ok((length, from)) = self.nodes[to].socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(from) = self.by_address.get(&from).copied() else { continue };
            let Some(delay) = self.delay(from, to) else { continue };
            let bytes = buffer[..length].to_vec();
            if delay.is_zero() {
                self.pass(from, to, &bytes).await;
            } else {
                let proxy = Arc::clone(&self);
                tokio::spawn(async move {
                    sleep(delay).await;
                    proxy.pass(from, to, &bytes).await;
                });
            }
        }
    }

    async fn pass(&self, from: usize, to: usize, bytes: &[u8]) {
        // A failed send counts as a lost datagram.
        let _ = self.nodes[from].socket.send_to(bytes, self.nodes[to].address).await;
    }

    /// Delay of a datagram; none if it is lost.
    fn delay(&self, from: usize, to: usize) -> Option<Duration> {
        let (sender, receiver) = {
            let delivery = self.delivery.lock().unwrap_or_else(PoisonError::into_inner);
            (delivery[from], delivery[to])
        };
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let mut delay = Duration::ZERO;
        for (delivery, sends) in [(sender, true), (receiver, false)] {
            match delivery {
                Delivery::Clear => {}
                Delivery::Lossy(share) if rng.random_bool(share) => return None,
                Delivery::Lossy(_) => {}
                Delivery::Slow(most) => delay += most.mul_f64(rng.random()),
                Delivery::ReceivesNothing if !sends => return None,
                Delivery::SendsNothing if sends => return None,
                Delivery::ReceivesNothing | Delivery::SendsNothing => {}
                Delivery::Cut => return None,
            }
        }
        Some(delay)
    }
}

/// Fault of connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Link {
    Clear,
    /// Each chunk is delayed by this.
    Slow(Duration),
    /// No data passes in either direction until the fault ends.
    Silent,
    /// No data passes to the server until the fault ends.
    ToServerCut,
    /// No data passes to the client until the fault ends.
    ToClientCut,
    /// Connections are reset.
    Reset,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Link {
    fn holds(self, direction: Direction) -> bool {
        match self {
            Link::Silent => true,
            Link::ToServerCut => direction == Direction::ToServer,
            Link::ToClientCut => direction == Direction::ToClient,
            Link::Clear | Link::Slow(_) | Link::Reset => false,
        }
    }
}

/// Forwards connections to a server.
pub(crate) struct StreamProxy {
    pub(crate) address: SocketAddr,
    link: watch::Sender<Link>,
}

impl StreamProxy {
    /// Listens at `at` and forwards connections to `server`.
    pub(crate) async fn start(at: SocketAddr, server: SocketAddr) -> StreamProxy {
        let listener = TcpListener::bind(at).await.expect("an address of the proxy");
        let address = listener.local_addr().expect("an address");
        let (link, link_now) = watch::channel(Link::Clear);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, server, link_now.clone()));
            }
        });
        StreamProxy { address, link }
    }

    /// Sets the fault of all connections.
    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

/// Forwards a connection until both sides have closed it or it is reset.
async fn relay(mut client: TcpStream, server: SocketAddr, mut link: watch::Receiver<Link>) {
    let Ok(mut server) = TcpStream::connect(server).await else { return };
    let was_reset = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let to_server = pump(client_reader, server_writer, link.clone(), Direction::ToServer);
        let to_client = pump(server_reader, client_writer, link.clone(), Direction::ToClient);
        tokio::select! {
            _ = async { tokio::join!(to_server, to_client) } => false,
            reset = link.wait_for(|it| *it == Link::Reset) => reset.is_ok(),
        }
    };
    if was_reset {
        for stream in [&client, &server] {
            // Fails if the connection is already closed.
            let _ = stream.set_zero_linger();
        }
    }
}

async fn pump(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    mut link: watch::Receiver<Link>,
    direction: Direction,
) {
    let mut buffer = vec![0; 16_384];
    loop {
        let length = reader.read(&mut buffer).await.unwrap_or(0);
        let now = *link.borrow();
        if let Link::Slow(delay) = now {
            sleep(delay).await;
        }
        if now.holds(direction) && link.wait_for(|it| !it.holds(direction)).await.is_err() {
            return;
        }
        if length == 0 || writer.write_all(&buffer[..length]).await.is_err() {
            // Fails if the other side is already closed.
            let _ = writer.shutdown().await;
            return;
        }
    }
}
