//! Server for calls from peers.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ident::{Incarnation, NodeId};
use node::ReplyTo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    task::AbortHandle,
    time::{sleep, timeout},
};
use wire::{Call, Frame, Reply};

use crate::{
    channel::{Outbox, Reader, Rejected, split},
    heartbeat::{Action, Activity, Heartbeat, ticks},
};

/// Time within which a peer must send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a frame after which a peer's connection is closed; peers ping more often.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of connections from peers, including those that wait for a hello.
const MAX_CONNECTIONS: usize = 16_384;

/// Delay before the next accept after one failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which [`Server::flush`] checks for replies that have not been written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// A call from a peer.
#[derive(Debug)]
pub struct IncomingCall {
    /// Connection and call to which the reply belongs.
    pub from: ReplyTo,
    /// Peer that called.
    pub peer: NodeId,
    /// The call.
    pub call: Call,
}

/// Incoming connections from peers; clones share them.
#[derive(Clone)]
pub struct Server {
    node: NodeId,
    incarnation: Incarnation,
    next_connection: Arc<AtomicU64>,
    connections: Arc<Mutex<HashMap<u64, AcceptedConnection>>>,
}

struct AcceptedConnection {
    outbox: Outbox,
    task: AbortHandle,
}

impl Server {
    /// Creates a server that identifies itself as `node`.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Server {
        Server { node, incarnation, next_connection: Arc::default(), connections: Arc::default() }
    }

    /// Accepts connections and sends their calls to `incoming` until the future is dropped.
    pub async fn serve(&self, listener: TcpListener, incoming: mpsc::Sender<IncomingCall>) {
        let _close = CloseGuard(self);
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            match listener.accept().await {
                Ok((stream, address)) => match Arc::clone(&permits).try_acquire_owned() {
                    Ok(permit) => self.spawn_connection(stream, incoming.clone(), permit),
                    Err(_) => log::warn!("rejected {address}: too many peers are connected"),
                },
                Err(err) => {
                    log::warn!("cannot accept a connection from a peer: {err}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Sends the reply to a call; it is dropped if the connection has closed.
    pub fn reply(&self, to: ReplyTo, reply: Reply) {
        let mut connections = self.lock();
        let Some(accepted) = connections.get(&to.connection) else {
            return;
        };
        if accepted.outbox.push(&Frame::Reply(to.call, reply)).is_err() {
            log::warn!("closing the connection of a peer that does not read its replies");
            accepted.task.abort();
            connections.remove(&to.connection);
        }
    }

    /// Waits up to `limit` until every reply has been written.
    pub async fn flush(&self, limit: Duration) {
        let flushed = async {
            while !self.lock().values().all(|accepted| accepted.outbox.is_flushed()) {
                sleep(FLUSH_INTERVAL).await;
            }
        };
        let _ = timeout(limit, flushed).await;
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.lock().len()
    }

    fn spawn_connection(
        &self,
        stream: TcpStream,
        incoming: mpsc::Sender<IncomingCall>,
        permit: OwnedSemaphorePermit,
    ) {
        let number = self.next_connection.fetch_add(1, Ordering::Relaxed);
        let server = self.clone();
        tokio::spawn(async move {
            if let Err(err) = server.handshake(number, stream, incoming, permit).await {
                log::debug!("handshake with a peer failed: {err}");
            }
        });
    }

    /// Exchanges hello frames and starts the task of the connection.
    async fn handshake(
        &self,
        number: u64,
        stream: TcpStream,
        incoming: mpsc::Sender<IncomingCall>,
        permit: OwnedSemaphorePermit,
    ) -> io::Result<()> {
        let (mut reader, mut writer, outbox) = split(stream)?;
        let hello = Frame::Hello { node: self.node, incarnation: self.incarnation };
        let peer = timeout(HELLO_TIMEOUT, async {
            writer.write(&hello).await?;
            expect_hello(&mut reader).await
        })
        .await??;
        let session = Session { number, peer, outbox: outbox.clone(), incoming };
        let mut connections = self.lock();
        let server = self.clone();
        let task = tokio::spawn(async move {
            tokio::select! {
                result = session.run(reader) => log_end(peer, result),
                result = writer.run() => log_end(peer, result),
            }
            server.lock().remove(&number);
            drop(permit);
        });
        connections.insert(number, AcceptedConnection { outbox, task: task.abort_handle() });
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, AcceptedConnection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes every connection on drop.
struct CloseGuard<'a>(&'a Server);

impl Drop for CloseGuard<'_> {
    fn drop(&mut self) {
        for (_, accepted) in self.0.lock().drain() {
            accepted.task.abort();
        }
    }
}

/// Reading side of a connection after the exchange of hello frames.
struct Session {
    number: u64,
    peer: NodeId,
    outbox: Outbox,
    incoming: mpsc::Sender<IncomingCall>,
}

impl Session {
    async fn run(&self, reader: Reader) -> io::Result<()> {
        let activity = Activity::default();
        tokio::select! {
            result = self.read(reader, &activity) => result,
            () = wait_until_inactive(&activity) => Err(io::Error::other("the peer went silent")),
        }
    }

    async fn read(&self, mut reader: Reader, activity: &Activity) -> io::Result<()> {
        while let Some(frame) = reader.next().await? {
            activity.record();
            match frame {
                Frame::Ping(number) => self.pong(number)?,
                Frame::Call(id, call) => {
                    let from = ReplyTo { connection: self.number, call: id };
                    let incoming = IncomingCall { from, peer: self.peer, call };
                    self.incoming.send(incoming).await.map_err(io::Error::other)?;
                }
                Frame::Pong(_) | Frame::Hello { .. } => {}
                Frame::Reply(..) => {
                    return Err(io::Error::other("the peer sent an unexpected reply"));
                }
            }
        }
        Ok(())
    }

    fn pong(&self, number: u64) -> io::Result<()> {
        match self.outbox.push(&Frame::Pong(number)) {
            Ok(_) => Ok(()),
            Err(Rejected) => Err(io::Error::other("the peer does not read its replies")),
        }
    }
}

async fn expect_hello(reader: &mut Reader) -> io::Result<NodeId> {
    match reader.next().await? {
        Some(Frame::Hello { node, .. }) => Ok(node),
        Some(_) | None => Err(io::Error::other("the peer sent no hello")),
    }
}

/// Returns when no frame has arrived for [`RECEIVE_TIMEOUT`].
async fn wait_until_inactive(activity: &Activity) {
    let mut heartbeat = Heartbeat::new(activity.clone(), RECEIVE_TIMEOUT);
    let mut ticks = ticks();
    ticks.tick().await;
    loop {
        ticks.tick().await;
        match heartbeat.tick() {
            Action::Nothing | Action::Ping => {}
            Action::Close => return,
        }
    }
}

fn log_end(peer: NodeId, result: io::Result<()>) {
    if let Err(err) = result {
        log::debug!("connection from {peer} ended: {err}");
    }
}
