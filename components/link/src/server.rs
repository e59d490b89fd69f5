//! Calls from peers.

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
    channel::{Outbox, Reader, Refused, split},
    heartbeat::{Due, Heartbeat, Pulse, ticks},
};

/// Time that a peer may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Silence after which a peer's connection is closed; the peer pings more often.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Connections of peers that are open or being opened at a time.
const MAX_CONNECTIONS: usize = 16_384;

/// Time to wait after the listener has failed, for example for lack of files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time between two looks at replies that have yet to be written.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// A call that a peer has made.
#[derive(Debug)]
pub struct Incoming {
    /// Where the reply goes.
    pub from: ReplyTo,
    /// Peer that called.
    pub peer: NodeId,
    /// What it asks.
    pub call: Call,
}

/// Connections that peers have opened; clones share them.
#[derive(Clone)]
pub struct Server {
    node: NodeId,
    incarnation: Incarnation,
    next_connection: Arc<AtomicU64>,
    connections: Arc<Mutex<HashMap<u64, Accepted>>>,
}

struct Accepted {
    outbox: Outbox,
    task: AbortHandle,
}

impl Server {
    /// Answers calls in the name of `node`.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Server {
        Server { node, incarnation, next_connection: Arc::default(), connections: Arc::default() }
    }

    /// Accepts connections and passes their calls on until it is dropped.
    pub async fn serve(&self, listener: TcpListener, incoming: mpsc::Sender<Incoming>) {
        let _close = CloseAll(self);
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            match listener.accept().await {
                Ok((stream, address)) => match Arc::clone(&permits).try_acquire_owned() {
                    Ok(permit) => self.start(stream, incoming.clone(), permit),
                    Err(_) => log::warn!("{address} was turned away: too many peers are connected"),
                },
                Err(err) => {
                    log::warn!("a connection of a peer could not be accepted: {err}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Sends the reply to a call; it is dropped if the connection has gone.
    pub fn reply(&self, to: ReplyTo, reply: Reply) {
        let mut connections = self.lock();
        let Some(accepted) = connections.get(&to.connection) else {
            return;
        };
        if accepted.outbox.push(&Frame::Reply(to.call, reply)).is_err() {
            log::warn!("a peer does not read its replies; its connection is closed");
            accepted.task.abort();
            connections.remove(&to.connection);
        }
    }

    /// Waits until every reply has been passed to its socket, at most for `limit`.
    pub async fn flush(&self, limit: Duration) {
        let flushed = async {
            while !self.lock().values().all(|accepted| accepted.outbox.is_flushed()) {
                sleep(FLUSH_PAUSE).await;
            }
        };
        let _ = timeout(limit, flushed).await;
    }

    /// Number of connections that are open.
    pub fn open_connections(&self) -> usize {
        self.lock().len()
    }

    fn start(
        &self,
        stream: TcpStream,
        incoming: mpsc::Sender<Incoming>,
        permit: OwnedSemaphorePermit,
    ) {
        let number = self.next_connection.fetch_add(1, Ordering::Relaxed);
        let server = self.clone();
        tokio::spawn(async move {
            if let Err(err) = server.greet(number, stream, incoming, permit).await {
                log::debug!("a connection of a peer failed: {err}");
            }
        });
    }

    /// Exchanges hellos and starts the connection's task.
    async fn greet(
        &self,
        number: u64,
        stream: TcpStream,
        incoming: mpsc::Sender<Incoming>,
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
        connections.insert(number, Accepted { outbox, task: task.abort_handle() });
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Accepted>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes every connection when serving ends.
struct CloseAll<'a>(&'a Server);

impl Drop for CloseAll<'_> {
    fn drop(&mut self) {
        for (_, accepted) in self.0.lock().drain() {
            accepted.task.abort();
        }
    }
}

struct Session {
    number: u64,
    peer: NodeId,
    outbox: Outbox,
    incoming: mpsc::Sender<Incoming>,
}

impl Session {
    async fn run(&self, reader: Reader) -> io::Result<()> {
        let pulse = Pulse::default();
        tokio::select! {
            result = self.read(reader, &pulse) => result,
            () = watch(&pulse) => Err(io::Error::other("it went silent")),
        }
    }

    async fn read(&self, mut reader: Reader, pulse: &Pulse) -> io::Result<()> {
        while let Some(frame) = reader.next().await? {
            pulse.beat();
            match frame {
                Frame::Ping(number) => self.pong(number)?,
                Frame::Call(id, call) => {
                    let from = ReplyTo { connection: self.number, call: id };
                    let incoming = Incoming { from, peer: self.peer, call };
                    self.incoming.send(incoming).await.map_err(io::Error::other)?;
                }
                Frame::Pong(_) | Frame::Hello { .. } => {}
                Frame::Reply(..) => return Err(io::Error::other("it replied without a call")),
            }
        }
        Ok(())
    }

    fn pong(&self, number: u64) -> io::Result<()> {
        match self.outbox.push(&Frame::Pong(number)) {
            Ok(_) => Ok(()),
            Err(Refused) => Err(io::Error::other("it does not read what it is sent")),
        }
    }
}

async fn expect_hello(reader: &mut Reader) -> io::Result<NodeId> {
    match reader.next().await? {
        Some(Frame::Hello { node, .. }) => Ok(node),
        Some(_) | None => Err(io::Error::other("it did not say who it is")),
    }
}

/// Returns when the peer has been silent for too long.
async fn watch(pulse: &Pulse) {
    let mut heartbeat = Heartbeat::new(pulse.clone(), SILENCE_LIMIT);
    let mut ticks = ticks();
    ticks.tick().await;
    loop {
        ticks.tick().await;
        match heartbeat.tick() {
            Due::Nothing | Due::Ping => {}
            Due::Close => return,
        }
    }
}

fn log_end(peer: NodeId, result: io::Result<()>) {
    if let Err(err) = result {
        log::debug!("the connection of {peer} ended: {err}");
    }
}
