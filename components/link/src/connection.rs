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
    channel::{FrameHandle, Outbox, Reader, Writer},
    heartbeat::{Action, Activity, CHECK_INTERVAL, Heartbeat, ticks},
};

/// Time without a frame from the peer after which the connection is closed.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time without a call after which the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// An open connection; clones share it.
#[derive(Clone)]
pub(crate) struct Connection {
    shared: Arc<Shared>,
    outbox: Outbox,
}

struct Shared {
    next_call: AtomicU64,
    pending: Mutex<PendingCalls>,
}

/// Calls that wait for a reply.
#[derive(Default)]
struct PendingCalls {
    closed: bool,
    calls: HashMap<CallId, PendingCall>,
}

struct PendingCall {
    handle: FrameHandle,
    reply: oneshot::Sender<Result<Reply, LinkError>>,
}

/// Removes a call on drop, also when its caller stops waiting.
struct CallGuard<'a> {
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
            pending: Mutex::new(PendingCalls::default()),
        });
        let connection = Connection { shared: Arc::clone(&shared), outbox: outbox.clone() };
        let running = Arc::clone(&shared);
        tokio::spawn(async move {
            closing.run_until_cancelled(run(&running, reader, writer, outbox)).await;
            running.close();
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
        let handle = self.push(id, call, sender)?;
        let _guard = CallGuard { shared: &self.shared, id };
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => Err(call_error(&handle)),
        }
    }

    fn push(
        &self,
        id: CallId,
        call: Call,
        reply: oneshot::Sender<Result<Reply, LinkError>>,
    ) -> Result<FrameHandle, LinkError> {
        let frame = Frame::Call(id, call);
        let mut pending = self.shared.lock();
        if pending.closed {
            return Err(LinkError::NotSent);
        }
        let handle = self.outbox.push(&frame).map_err(|_| LinkError::NotSent)?;
        pending.calls.insert(id, PendingCall { handle: handle.clone(), reply });
        Ok(handle)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, PendingCalls> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delivers a reply to its caller; replies without a pending call are dropped.
    fn deliver(&self, id: CallId, reply: Reply) {
        let pending_call = self.lock().calls.remove(&id);
        if let Some(pending_call) = pending_call {
            let _ = pending_call.reply.send(Ok(reply));
        }
    }

    /// Rejects further calls and fails those without a reply.
    fn close(&self) {
        let mut pending = self.lock();
        pending.closed = true;
        for (_, pending_call) in pending.calls.drain() {
            let _ = pending_call.reply.send(Err(call_error(&pending_call.handle)));
        }
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.shared.lock().calls.remove(&self.id);
    }
}

/// Error of a call without a reply; cancels its frame if that was not written.
fn call_error(handle: &FrameHandle) -> LinkError {
    match handle.cancel() {
        true => LinkError::NotSent,
        false => LinkError::Lost,
    }
}

/// Drives the connection until it ends, fails, receives no frame for [`RECEIVE_TIMEOUT`] or
/// has no call for [`IDLE_TIMEOUT`].
async fn run(shared: &Shared, reader: Reader, writer: Writer, outbox: Outbox) {
    let activity = Activity::default();
    let result = tokio::select! {
        result = read(shared, reader, &outbox, &activity) => result,
        result = writer.run() => result,
        () = monitor(shared, &outbox, &activity) => Ok(()),
    };
    if let Err(err) = result {
        log::debug!("connection to a peer failed: {err}");
    }
}

async fn read(
    shared: &Shared,
    mut reader: Reader,
    outbox: &Outbox,
    activity: &Activity,
) -> io::Result<()> {
    while let Some((frame, _memory)) = reader.next().await? {
        activity.record();
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

/// Pings a peer that sends no frames; returns when the connection is to be closed.
async fn monitor(shared: &Shared, outbox: &Outbox, activity: &Activity) {
    let mut heartbeat = Heartbeat::new(activity.clone(), RECEIVE_TIMEOUT);
    let mut ticks = ticks();
    let mut idle = IdleTimer::new(shared);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        if idle.tick(shared) {
            return;
        }
        match heartbeat.tick() {
            Action::Nothing => {}
            Action::Ping => {
                let _ = outbox.push(&Frame::Ping(0));
            }
            Action::Close => return,
        }
    }
}

/// Measures in ticks how long a connection has had no call.
struct IdleTimer {
    /// Ticks without a call.
    ticks: u128,
    /// Value of `next_call` at the start or at the last tick with a call.
    last_call: u64,
}

impl IdleTimer {
    fn new(shared: &Shared) -> IdleTimer {
        IdleTimer { ticks: 0, last_call: shared.next_call.load(Ordering::Relaxed) }
    }

    /// Counts a tick; closes the connection and returns true once it has been idle for too long.
    fn tick(&mut self, shared: &Shared) -> bool {
        let mut pending = shared.lock();
        let last_call = shared.next_call.load(Ordering::Relaxed);
        if last_call != self.last_call || !pending.calls.is_empty() {
            self.last_call = last_call;
            self.ticks = 0;
            return false;
        }
        self.ticks += 1;
        let expired = self.ticks * CHECK_INTERVAL.as_millis() >= IDLE_TIMEOUT.as_millis();
        pending.closed = expired;
        expired
    }
}
