//! Stream of a client, with timeouts on reads and writes, and a pace of reads.
//!
//! Reads fail when the head of a request does not arrive completely in time, and
//! writes when the client does not read its response. The idle time between two
//! requests is a separate limit, which hyper enforces.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

use crate::{
    pace::{Pace, Place},
    socket::{ClientSocket, Socket},
};

/// Time limits of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time within which the headers must arrive, from their first byte.
    pub header: Duration,
    /// Longest time for which a write may be blocked by a client that does not read.
    pub write: Duration,
}

/// Phase of a connection: even between requests, odd during one.
#[derive(Clone, Default)]
pub struct Phase(Arc<AtomicU64>);

/// Ends the current request of a connection on drop.
pub struct RequestGuard<'a>(&'a Phase);

/// A stream of a client, with timeouts on reads and writes.
pub struct ClientStream {
    socket: Arc<Socket>,
    place: Place,
    phase: Phase,
    /// Phase in which the first bytes of the latest head arrived.
    head_phase: Option<u64>,
    head_timeout: Duration,
    head_timer: Pin<Box<Sleep>>,
    blocked: bool,
    write_timeout: Duration,
    write_timer: Pin<Box<Sleep>>,
}

impl Phase {
    /// Marks the start of a request, whose head has arrived.
    pub fn begin_request(&self) -> RequestGuard<'_> {
        self.0.fetch_add(1, Ordering::Relaxed);
        RequestGuard(self)
    }

    fn number(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        let RequestGuard(phase) = self;
        phase.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl ClientStream {
    /// Adds timeouts to `stream`, which is read at `pace`.
    pub fn new(stream: TcpStream, phase: Phase, timeouts: Timeouts, pace: &Pace) -> ClientStream {
        ClientStream {
            socket: Socket::new(stream),
            place: pace.place(),
            phase,
            head_phase: None,
            head_timeout: timeouts.header,
            head_timer: Box::pin(sleep(timeouts.header)),
            blocked: false,
            write_timeout: timeouts.write,
            write_timer: Box::pin(sleep(timeouts.write)),
        }
    }

    /// Handle to the socket.
    pub fn socket(&self) -> ClientSocket {
        self.socket.handle()
    }

    /// Reads once there is something to read and it is the connection's turn.
    fn poll_paced_read(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.socket.poll_read_ready(context))?;
        ready!(self.place.poll_turn(context));
        let before = buffer.filled().len();
        let result = self.socket.poll_read(context, buffer);
        match result {
            Poll::Ready(_) => self.place.end_turn(buffer.filled().len() - before),
            Poll::Pending => self.place.return_turn(),
        }
        result
    }

    /// Starts the timer when the first bytes of a head arrive.
    fn start_head_timer(&mut self) {
        let phase = self.phase.number();
        if phase.is_multiple_of(2) && self.head_phase != Some(phase) {
            self.head_phase = Some(phase);
            self.head_timer.as_mut().reset(Instant::now() + self.head_timeout);
        }
    }

    /// Fails a read if the rest of a head has not arrived in time.
    fn poll_head_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.head_phase != Some(self.phase.number()) {
            return Poll::Pending;
        }
        ready!(self.head_timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Fails a write that has been blocked until its timeout.
    fn poll_write_timeout<T>(&mut self, context: &mut Context<'_>) -> Poll<io::Result<T>> {
        if !self.blocked {
            self.blocked = true;
            self.write_timer.as_mut().reset(Instant::now() + self.write_timeout);
        }
        ready!(self.write_timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.poll_paced_read(context, buffer) {
            Poll::Ready(result) => {
                self.start_head_timer();
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_head_timeout(context),
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.socket.poll_write(context, bytes) {
            Poll::Ready(result) => {
                self.blocked = false;
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_write_timeout(context),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.socket.close_write())
    }
}
