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

/// Fault that affects the datagrams of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum DatagramFault {
    None,
    /// This fraction is lost in both directions.
    Lossy(f64),
    /// Each is delayed by a random time up to this in both directions, so order is not kept.
    Slow(Duration),
    /// Datagrams to the process are lost.
    InboundCut,
    /// Datagrams from the process are lost.
    OutboundCut,
    /// All datagrams are lost.
    Cut,
}

/// Forwards datagrams between processes, with a public address for each of them.
pub(crate) struct DatagramProxy {
    processes: Vec<ProxiedProcess>,
    /// Index of each process in `processes`, by its own address.
    by_address: HashMap<SocketAddr, usize>,
    faults: Mutex<Vec<DatagramFault>>,
    rng: Mutex<SmallRng>,
}

struct ProxiedProcess {
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
        let mut processes = Vec::new();
        for (public, address) in addresses {
            let socket = UdpSocket::bind(public).await.expect("a public address");
            processes.push(ProxiedProcess { socket, address: *address });
        }
        let by_address = processes
            .iter()
            .enumerate()
            .map(|(it, process)| (process.address.into(), it))
            .collect();
        let proxy = Arc::new(DatagramProxy {
            faults: Mutex::new(vec![DatagramFault::None; processes.len()]),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            processes,
            by_address,
        });
        for process in 0..proxy.processes.len() {
            tokio::spawn(Arc::clone(&proxy).relay(process));
        }
        proxy
    }

    /// Sets the fault of the datagrams of a process.
    pub(crate) fn set(&self, process: usize, fault: DatagramFault) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)[process] = fault;
    }

    /// Forwards the datagrams to one process.
    async fn relay(self: Arc<Self>, to: usize) {
        let mut buffer = vec![0; 65_536];
        loop {
            // Errors are ICMP refusals of a process that is down, and are ignored.
            let Ok((length, from)) = self.processes[to].socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(from) = self.by_address.get(&from).copied() else { continue };
            let Some(delay) = self.delay(from, to) else { continue };
            let bytes = buffer[..length].to_vec();
            if delay.is_zero() {
                self.forward(from, to, &bytes).await;
            } else {
                let proxy = Arc::clone(&self);
                tokio::spawn(async move {
                    sleep(delay).await;
                    proxy.forward(from, to, &bytes).await;
                });
            }
        }
    }

    async fn forward(&self, from: usize, to: usize, bytes: &[u8]) {
        // A failed send counts as a lost datagram.
        let _ = self.processes[from].socket.send_to(bytes, self.processes[to].address).await;
    }

    /// Delay of a datagram; none if it is lost.
    fn delay(&self, from: usize, to: usize) -> Option<Duration> {
        let (sender, receiver) = {
            let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
            (faults[from], faults[to])
        };
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let mut delay = Duration::ZERO;
        for (fault, is_sender) in [(sender, true), (receiver, false)] {
            match fault {
                DatagramFault::None => {}
                DatagramFault::Lossy(probability) if rng.random_bool(probability) => return None,
                DatagramFault::Lossy(_) => {}
                DatagramFault::Slow(max) => delay += max.mul_f64(rng.random()),
                DatagramFault::InboundCut if !is_sender => return None,
                DatagramFault::OutboundCut if is_sender => return None,
                DatagramFault::InboundCut | DatagramFault::OutboundCut => {}
                DatagramFault::Cut => return None,
            }
        }
        Some(delay)
    }
}

/// Fault that affects connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum StreamFault {
    None,
    /// Each chunk is delayed by this time.
    Slow(Duration),
    /// No data passes in either direction until the fault ends; connections stay open.
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

impl StreamFault {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            StreamFault::Silent => true,
            StreamFault::ToServerCut => direction == Direction::ToServer,
            StreamFault::ToClientCut => direction == Direction::ToClient,
            StreamFault::None | StreamFault::Slow(_) | StreamFault::Reset => false,
        }
    }
}

/// Forwards connections to a server.
pub(crate) struct StreamProxy {
    /// Address at which the proxy listens.
    pub(crate) address: SocketAddr,
    fault: watch::Sender<StreamFault>,
}

impl StreamProxy {
    /// Listens at `at` and forwards connections to `server`.
    pub(crate) async fn start(at: SocketAddr, server: SocketAddr) -> StreamProxy {
        let listener = TcpListener::bind(at).await.expect("an address of the proxy");
        let address = listener.local_addr().expect("an address");
        let (fault, fault_receiver) = watch::channel(StreamFault::None);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, server, fault_receiver.clone()));
            }
        });
        StreamProxy { address, fault }
    }

    /// Sets the fault of all connections.
    pub(crate) fn set(&self, fault: StreamFault) {
        self.fault.send_replace(fault);
    }
}

/// Forwards a connection until both sides have closed it or it is reset.
async fn relay(mut client: TcpStream, server: SocketAddr, mut fault: watch::Receiver<StreamFault>) {
    let Ok(mut server) = TcpStream::connect(server).await else { return };
    let was_reset = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let to_server = copy(client_reader, server_writer, fault.clone(), Direction::ToServer);
        let to_client = copy(server_reader, client_writer, fault.clone(), Direction::ToClient);
        tokio::select! {
            _ = async { tokio::join!(to_server, to_client) } => false,
            reset = fault.wait_for(|it| *it == StreamFault::Reset) => reset.is_ok(),
        }
    };
    if was_reset {
        for stream in [&client, &server] {
            // Fails if the connection is already closed.
            let _ = stream.set_zero_linger();
        }
    }
}

async fn copy(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    mut fault: watch::Receiver<StreamFault>,
    direction: Direction,
) {
    let mut buffer = vec![0; 16_384];
    loop {
        let length = reader.read(&mut buffer).await.unwrap_or(0);
        let current = *fault.borrow();
        if let StreamFault::Slow(delay) = current {
            sleep(delay).await;
        }
        if current.blocks(direction) && fault.wait_for(|it| !it.blocks(direction)).await.is_err() {
            return;
        }
        if length == 0 || writer.write_all(&buffer[..length]).await.is_err() {
            // Fails if the other side is already closed.
            let _ = writer.shutdown().await;
            return;
        }
    }
}
