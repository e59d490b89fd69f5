//! A caller's connection that does not wait for ever for its answer to be read.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

/// A stream whose writes fail after a time without progress.
pub(crate) struct WriteLimited {
    stream: TcpStream,
    limit: Duration,
    timer: Pin<Box<Sleep>>,
    blocked: bool,
}

impl WriteLimited {
    /// Limits the writes of `stream`.
    pub(crate) fn new(stream: TcpStream, limit: Duration) -> WriteLimited {
        WriteLimited { stream, limit, timer: Box::pin(sleep(limit)), blocked: false }
    }

    /// Passes a finished write on and starts the timer of one that is blocked.
    fn watch<T>(
        &mut self,
        poll: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.blocked = false;
            return poll;
        }
        if !self.blocked {
            self.blocked = true;
            self.timer.as_mut().reset(Instant::now() + self.limit);
        }
        ready!(self.timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for WriteLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(poll, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
