//! Outgoing connection, on which this node calls a peer.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use node::LinkError;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wire::{Call, CallId, Frame, Reply};

use crate::{
    channel::{Outbox, Reader, Ticket, Writer},
    heartbeat::{Due, Heartbeat, Pulse, TICK, ticks},
};

/// Time without a frame from the peer after which the connection is closed.
const SILENCE_LIMIT: Duration = Duration::from_millis(1000);

/// Time without a call after which the connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// An open connection; clones share it.
#[derive(Clone)]
pub(crate) struct Connection {
    shared: Arc<Shared>,
    outbox: Outbox,
}

struct Shared {
    next_call: AtomicU64,
    waiting: Mutex<Waiting>,
}

/// Calls without a reply.
#[derive(Default)]
struct Waiting {
    closed: bool,
    calls: HashMap<CallId, Outstanding>,
}

struct Outstanding {
    ticket: Ticket,
    reply: oneshot::Sender<Result<Reply, LinkError>>,
}

/// Removes a call on drop, also when its caller stops waiting.
struct Forget<'a> {
    shared: &'a Shared,
    id: CallId,
}

impl Connection {
    /// Starts the task of a connection after the exchange of hello frames.
    pub(crate) fn start(
        reader: Reader,
        writer: Writer,
        outbox: Outbox,
        closing: CancellationToken,
    ) -> Connection {
        let shared = Arc::new(Shared {
            next_call: AtomicU64::new(0),
            waiting: Mutex::new(Waiting::default()),
        });
        let connection = Connection { shared: Arc::clone(&shared), outbox: outbox.clone() };
        let driven = Arc::clone(&shared);
        tokio::spawn(async move {
            closing.run_until_cancelled(drive(&driven, reader, writer, outbox)).await;
            driven.close();
        });
        connection
    }

    /// Whether the connection accepts calls.
    pub(crate) fn is_open(&self) -> bool {
        !self.shared.lock().closed && !self.outbox.is_closed()
    }

    /// Makes a call and waits up to `timeout` for its reply.
    pub(crate) async fn call(&self, call: Call, timeout: Duration) -> Result<Reply, LinkError> {
        let id = CallId(self.shared.next_call.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        let ticket = self.push(id, call, sender)?;
        let _forget = Forget { shared: &self.shared, id };
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => Err(failure(&ticket)),
        }
    }

    fn push(
        &self,
        id: CallId,
        call: Call,
        reply: oneshot::Sender<Result<Reply, LinkError>>,
    ) -> Result<Ticket, LinkError> {
        let frame = Frame::Call(id, call);
        let mut waiting = self.shared.lock();
        if waiting.closed {
            return Err(LinkError::NotSent);
        }
        let ticket = self.outbox.push(&frame).map_err(|_| LinkError::NotSent)?;
        waiting.calls.insert(id, Outstanding { ticket: ticket.clone(), reply });
        Ok(ticket)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delivers a reply to its caller; replies to unknown calls are dropped.
    fn deliver(&self, id: CallId, reply: Reply) {
        let outstanding = self.lock().calls.remove(&id);
        if let Some(outstanding) = outstanding {
            let _ = outstanding.reply.send(Ok(reply));
        }
    }

    /// Rejects further calls and fails those without a reply.
    fn close(&self) {
        let mut waiting = self.lock();
        waiting.closed = true;
        for (_, outstanding) in waiting.calls.drain() {
            let _ = outstanding.reply.send(Err(failure(&outstanding.ticket)));
        }
    }
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.shared.lock().calls.remove(&self.id);
    }
}

/// Error of a call without a reply; cancels its frame if that was not written.
fn failure(ticket: &Ticket) -> LinkError {
    match ticket.withdraw() {
        true => LinkError::NotSent,
        false => LinkError::Lost,
    }
}

/// Drives the connection until it ends, fails, is silent for too long or is idle.
async fn drive(shared: &Shared, reader: Reader, writer: Writer, outbox: Outbox) {
    let pulse = Pulse::default();
    let result = tokio::select! {
        result = read(shared, reader, &outbox, &pulse) => result,
        result = writer.run() => result,
        () = watch(shared, &outbox, &pulse) => Ok(()),
    };
    if let Err(err) = result {
        log::debug!("connection to a peer failed: {err}");
    }
}

async fn read(
    shared: &Shared,
    mut reader: Reader,
    outbox: &Outbox,
    pulse: &Pulse,
) -> io::Result<()> {
    while let Some(frame) = reader.next().await? {
        pulse.beat();
        match frame {
            Frame::Reply(id, reply) => shared.deliver(id, reply),
            Frame::Ping(number) => {
                let _ = outbox.push(&Frame::Pong(number));
            }
            Frame::Pong(_) | Frame::Hello { .. } => {}
            Frame::Call(..) => return Err(io::Error::other("the peer sent an unexpected call")),
        }
    }
    Ok(())
}

/// Pings a silent peer; returns when the connection is to be closed.
async fn watch(shared: &Shared, outbox: &Outbox, pulse: &Pulse) {
    let mut heartbeat = Heartbeat::new(pulse.clone(), SILENCE_LIMIT);
    let mut ticks = ticks();
    let mut idle = Idle::new(shared);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        if idle.tick(shared) {
            return;
        }
        match heartbeat.tick() {
            Due::Nothing => {}
            Due::Ping => {
                let _ = outbox.push(&Frame::Ping(0));
            }
            Due::Close => return,
        }
    }
}

/// Measures how long a connection has had no call, in ticks.
struct Idle {
    ticks: u128,
    last_call: u64,
}

impl Idle {
    fn new(shared: &Shared) -> Idle {
        Idle { ticks: 0, last_call: shared.next_call.load(Ordering::Relaxed) }
    }

    /// Counts a tick; closes the connection and returns true once it has been idle for too long.
    fn tick(&mut self, shared: &Shared) -> bool {
        let mut waiting = shared.lock();
        let last_call = shared.next_call.load(Ordering::Relaxed);
        if last_call != self.last_call || !waiting.calls.is_empty() {
            self.last_call = last_call;
            self.ticks = 0;
            return false;
        }
        self.ticks += 1;
        let expired = self.ticks * TICK.as_millis() >= IDLE_LIMIT.as_millis();
        waiting.closed = expired;
        expired
    }
}
