//! A connection on which this node calls a peer.

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

/// Silence after which a connection is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(1000);

/// Time without a call after which a connection is closed.
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

/// Calls that have no reply yet.
#[derive(Default)]
struct Waiting {
    closed: bool,
    calls: HashMap<CallId, Outstanding>,
}

struct Outstanding {
    ticket: Ticket,
    reply: oneshot::Sender<Result<Reply, LinkError>>,
}

/// Forgets a call whose caller has gone.
struct Forget<'a> {
    shared: &'a Shared,
    id: CallId,
}

impl Connection {
    /// Starts the tasks of a connection on which both sides have said hello.
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

    /// Whether calls can still be made.
    pub(crate) fn is_open(&self) -> bool {
        !self.shared.lock().closed && !self.outbox.is_closed()
    }

    /// Makes a call and waits for its reply, at most for `timeout`.
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

    /// Passes a reply to its caller, if it still waits.
    fn deliver(&self, id: CallId, reply: Reply) {
        let outstanding = self.lock().calls.remove(&id);
        if let Some(outstanding) = outstanding {
            let _ = outstanding.reply.send(Ok(reply));
        }
    }

    /// Fails every outstanding call and takes no more.
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

fn failure(ticket: &Ticket) -> LinkError {
    match ticket.withdraw() {
        true => LinkError::NotSent,
        false => LinkError::Lost,
    }
}

/// Runs the connection until it ends, is silent for too long or idle.
async fn drive(shared: &Shared, reader: Reader, writer: Writer, outbox: Outbox) {
    let pulse = Pulse::default();
    let result = tokio::select! {
        result = read(shared, reader, &outbox, &pulse) => result,
        result = writer.run() => result,
        () = watch(shared, &outbox, &pulse) => Ok(()),
    };
    if let Err(err) = result {
        log::debug!("a connection to a peer failed: {err}");
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
            Frame::Call(..) => return Err(io::Error::other("the peer called on a reply channel")),
        }
    }
    Ok(())
}

/// Pings the peer and returns when the connection should be closed.
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

/// Counts how long a connection has carried no call.
struct Idle {
    ticks: u128,
    last_call: u64,
}

impl Idle {
    fn new(shared: &Shared) -> Idle {
        Idle { ticks: 0, last_call: shared.next_call.load(Ordering::Relaxed) }
    }

    /// Whether the connection has been idle for too long; it is closed then.
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
