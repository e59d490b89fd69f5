//! Reading and writing halves of a connection that carries frames.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use futures::SinkExt;
use intake::{Bodies, BodyReservation, WholeBody};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, BufReader},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
};
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};
use wire::{Frame, MAX_FRAME_BYTES, decode, encode};

/// Maximum number of frames queued for one connection.
const MAX_QUEUED_FRAMES: usize = 4096;

/// Maximum number of bytes queued for one connection.
const MAX_QUEUED_BYTES: usize = 4 * MAX_FRAME_BYTES;

/// Maximum number of frames written between two flushes of the socket.
const MAX_BATCH_FRAMES: usize = 64;

/// Reading half of a connection.
pub(crate) struct Reader {
    stream: BufReader<OwnedReadHalf>,
    /// Memory for frames.
    memory: Bodies,
}

/// Writing half of a connection, which writes the frames of an [`Outbox`].
pub(crate) struct Writer {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    queue: mpsc::Receiver<Queued>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Bounded queue of frames for a [`Writer`].
#[derive(Clone)]
pub(crate) struct Outbox {
    queue: mpsc::Sender<Queued>,
    queued_bytes: Arc<AtomicUsize>,
}

/// State of a queued frame, which can be cancelled until it is written.
#[derive(Clone, Default)]
pub(crate) struct FrameHandle(Arc<AtomicU8>);

/// The frame was not queued: the queue is full or closed, or the frame too large.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Rejected;

struct Queued {
    bytes: Bytes,
    handle: FrameHandle,
}

const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const CANCELLED: u8 = 2;

/// Splits a connection into its reading half, which reads frames into `memory`, and its writing half,
/// and returns the queue of the writing one.
pub(crate) fn split(stream: TcpStream, memory: Bodies) -> io::Result<(Reader, Writer, Outbox)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let (sender, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let reader = Reader { stream: BufReader::new(read), memory };
    let writer = Writer {
        frames: FramedWrite::new(write, codec()),
        queue,
        queued_bytes: Arc::clone(&queued_bytes),
    };
    Ok((reader, writer, Outbox { queue: sender, queued_bytes }))
}

impl Reader {
    /// Reads the next frame, with the memory that is reserved for it; `None` at the end of the
    /// stream.
    pub(crate) async fn next(&mut self) -> io::Result<Option<(Frame, BodyReservation)>> {
        if self.stream.fill_buf().await?.is_empty() {
            return Ok(None);
        }
        let length = self.stream.read_u32().await? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::other(format!(
                "a frame has {length} bytes; at most {MAX_FRAME_BYTES} are taken"
            )));
        }
        let (bytes, reservation) = self.read_frame(length).await?.into_parts();
        let frame = decode("frame", &bytes).map_err(io::Error::other)?;
        Ok(Some((frame, reservation)))
    }

    async fn read_frame(&mut self, length: usize) -> io::Result<WholeBody> {
        let partial = self.memory.open();
        let mut missing = length;
        while missing > 0 {
            let arrived = self.stream.fill_buf().await?;
            if arrived.is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let chunk = &arrived[..arrived.len().min(missing)];
            partial.push(chunk, length).map_err(io::Error::other)?;
            let read = chunk.len();
            self.stream.consume(read);
            missing -= read;
        }
        partial.finish().map_err(io::Error::other)
    }
}

impl Writer {
    /// Writes and flushes one frame, bypassing the queue.
    pub(crate) async fn write(&mut self, frame: &Frame) -> io::Result<()> {
        self.frames.send(Bytes::from(encode(frame))).await
    }

    /// Writes queued frames until the outbox is dropped or the connection fails.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        while let Some(first) = self.queue.recv().await {
            let mut written = self.feed(first).await?;
            for _ in 1..MAX_BATCH_FRAMES {
                let Ok(next) = self.queue.try_recv() else { break };
                written += self.feed(next).await?;
            }
            SinkExt::<Bytes>::flush(&mut self.frames).await?;
            self.queued_bytes.fetch_sub(written, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Writes a frame, unless it was cancelled; returns its size in the queue.
    async fn feed(&mut self, queued: Queued) -> io::Result<usize> {
        let len = queued.bytes.len();
        if queued.handle.begin_write() {
            self.frames.feed(queued.bytes).await?;
        }
        Ok(len)
    }
}

impl Outbox {
    /// Queues a frame; the handle can cancel it until it is written.
    pub(crate) fn push(&self, frame: &Frame) -> Result<FrameHandle, Rejected> {
        let bytes = Bytes::from(encode(frame));
        let len = bytes.len();
        if len > MAX_FRAME_BYTES {
            return Err(Rejected);
        }
        if self.queued_bytes.fetch_add(len, Ordering::Relaxed) + len > MAX_QUEUED_BYTES {
            self.queued_bytes.fetch_sub(len, Ordering::Relaxed);
            return Err(Rejected);
        }
        let handle = FrameHandle::default();
        let queued = Queued { bytes, handle: handle.clone() };
        if self.queue.try_send(queued).is_err() {
            self.queued_bytes.fetch_sub(len, Ordering::Relaxed);
            return Err(Rejected);
        }
        Ok(handle)
    }

    /// Whether every queued frame has been written and flushed.
    pub(crate) fn is_flushed(&self) -> bool {
        self.queued_bytes.load(Ordering::Relaxed) == 0
    }

    /// Whether the writer has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

impl FrameHandle {
    /// Cancels the frame; false if it was written, possibly in part.
    pub(crate) fn cancel(&self) -> bool {
        self.transition(CANCELLED) != WRITTEN
    }

    /// Marks the frame as written; false if it was cancelled.
    fn begin_write(&self) -> bool {
        self.transition(WRITTEN) == QUEUED
    }

    /// Sets the state to `next` if it is `QUEUED`; returns the state before.
    fn transition(&self, next: u8) -> u8 {
        match self.0.compare_exchange(QUEUED, next, Ordering::AcqRel, Ordering::Acquire) {
            Ok(before) | Err(before) => before,
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(4)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
