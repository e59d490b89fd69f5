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
use intake::{Activity as ConnectionActivity, Bodies, BodyReservation, Connection, Connections};
use node::ReplyTo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use wire::{Call, Frame, Reply};

use crate::{
    channel::{Outbox, Reader, Rejected, split},
    heartbeat::{Action, Activity, Heartbeat, ticks},
};

/// Time within which a peer must send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a frame after which a peer's connection is closed; peers ping more often.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);

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
    /// Memory reserved for the call, released on drop.
    pub memory: BodyReservation,
}

/// Incoming connections from peers; clones share them.
#[derive(Clone)]
pub struct Server {
    node: NodeId,
    incarnation: Incarnation,
    next_connection: Arc<AtomicU64>,
    connections: Arc<Mutex<HashMap<u64, AcceptedConnection>>>,
    open: Connections,
    memory: Bodies,
}

struct AcceptedConnection {
    outbox: Outbox,
    closing: CancellationToken,
}

impl Server {
    /// Creates a server that identifies itself as `node`, with up to this many connections, including
    /// those that wait for a hello, and that reads frames into `memory`.
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        connections: usize,
        memory: Bodies,
    ) -> Server {
        Server {
            node,
            incarnation,
            next_connection: Arc::default(),
            connections: Arc::default(),
            open: Connections::new(connections),
            memory,
        }
    }

    /// Accepts connections and sends their calls to `incoming` until the future is dropped.
    pub async fn serve(&self, listener: TcpListener, incoming: mpsc::Sender<IncomingCall>) {
        let _close = CloseGuard(self);
        loop {
            match listener.accept().await {
                Ok((stream, address)) => match self.open.admit().await {
                    Some(connection) => self.spawn_connection(stream, incoming.clone(), connection),
                    None => log::warn!("rejected {address}: too many peers are connected"),
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
            accepted.closing.cancel();
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
        connection: Connection,
    ) {
        let number = self.next_connection.fetch_add(1, Ordering::Relaxed);
        let server = self.clone();
        tokio::spawn(async move {
            let activity = connection.activity();
            let ended = tokio::select! {
                ended = server.run(number, stream, incoming, activity) => ended,
                () = connection.wait_until_displaced() => {
                    Err(io::Error::other("another connection needs its place"))
                }
            };
            server.lock().remove(&number);
            if let Err(err) = ended {
                log::debug!("a connection of a peer ended: {err}");
            }
        });
    }

    /// Exchanges hello frames and serves the connection until it ends.
    async fn run(
        &self,
        number: u64,
        stream: TcpStream,
        incoming: mpsc::Sender<IncomingCall>,
        activity: ConnectionActivity,
    ) -> io::Result<()> {
        let (mut reader, mut writer, outbox) = split(stream, self.memory.clone())?;
        let hello = Frame::Hello { node: self.node, incarnation: self.incarnation };
        let peer = timeout(HELLO_TIMEOUT, async {
            writer.write(&hello).await?;
            expect_hello(&mut reader).await
        })
        .await??;
        let closing = CancellationToken::new();
        let accepted = AcceptedConnection { outbox: outbox.clone(), closing: closing.clone() };
        self.lock().insert(number, accepted);
        let session = Session { number, peer, outbox, incoming, activity };
        tokio::select! {
            result = session.run(reader) => log_end(peer, result),
            result = writer.run() => log_end(peer, result),
            () = closing.cancelled() => {}
        }
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
            accepted.closing.cancel();
        }
    }
}

/// Reading side of a connection after the exchange of hello frames.
struct Session {
    number: u64,
    peer: NodeId,
    outbox: Outbox,
    incoming: mpsc::Sender<IncomingCall>,
    activity: ConnectionActivity,
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
        while let Some((frame, memory)) = reader.next().await? {
            activity.record();
            // The connection counts as quiet from now on.
            drop(self.activity.begin_answer());
            match frame {
                Frame::Ping(number) => self.pong(number)?,
                Frame::Call(id, call) => {
                    let from = ReplyTo { connection: self.number, call: id };
                    let incoming = IncomingCall { from, peer: self.peer, call, memory };
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
        Some((Frame::Hello { node, .. }, _)) => Ok(node),
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
