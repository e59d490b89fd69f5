//! Connection from a caller, with timeouts on reads and writes.
//!
//! Reads fail when the head of a request does not arrive completely in time, and
//! writes when the caller does not read its response. The idle time between two
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

use crate::limits::Limits;

/// Phase of a connection: even between requests, odd during one.
#[derive(Clone, Default)]
pub(crate) struct Phase(Arc<AtomicU64>);

/// Ends the current request of a connection on drop.
pub(crate) struct InRequest<'a>(&'a Phase);

/// A connection from a caller, with timeouts on reads and writes.
pub(crate) struct CallerStream {
    stream: TcpStream,
    phase: Phase,
    /// Phase in which the first bytes of the latest head arrived.
    arriving: Option<u64>,
    head_time: Duration,
    head_timer: Pin<Box<Sleep>>,
    blocked: bool,
    write_time: Duration,
    write_timer: Pin<Box<Sleep>>,
}

impl Phase {
    /// Marks the start of a request, whose head has arrived.
    pub(crate) fn begin_request(&self) -> InRequest<'_> {
        self.0.fetch_add(1, Ordering::Relaxed);
        InRequest(self)
    }

    fn number(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for InRequest<'_> {
    fn drop(&mut self) {
        let InRequest(phase) = self;
        phase.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl CallerStream {
    /// Adds the timeouts of `limits` to `stream`.
    pub(crate) fn new(stream: TcpStream, phase: Phase, limits: &Limits) -> CallerStream {
        CallerStream {
            stream,
            phase,
            arriving: None,
            head_time: limits.header_time,
            head_timer: Box::pin(sleep(limits.header_time)),
            blocked: false,
            write_time: limits.write_time,
            write_timer: Box::pin(sleep(limits.write_time)),
        }
    }

    /// Starts the timer when the first bytes of a head arrive.
    fn begin_head(&mut self) {
        let phase = self.phase.number();
        if phase.is_multiple_of(2) && self.arriving != Some(phase) {
            self.arriving = Some(phase);
            self.head_timer.as_mut().reset(Instant::now() + self.head_time);
        }
    }

    /// Fails a read if the rest of a head has not arrived in time.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.arriving != Some(self.phase.number()) {
            return Poll::Pending;
        }
        ready!(self.head_timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Fails a write that has been blocked until its timeout.
    fn poll_blocked<T>(&mut self, context: &mut Context<'_>) -> Poll<io::Result<T>> {
        if !self.blocked {
            self.blocked = true;
            self.write_timer.as_mut().reset(Instant::now() + self.write_time);
        }
        ready!(self.write_timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(result) => {
                self.begin_head();
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_head(context),
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(context, bytes) {
            Poll::Ready(result) => {
                self.blocked = false;
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_blocked(context),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
