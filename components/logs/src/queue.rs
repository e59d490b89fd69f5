//! Queue of encoded log lines to the thread that writes them, bounded in lines and in bytes.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
    mpsc::{Receiver, SyncSender, sync_channel},
};

/// Capacity in lines.
const QUEUE_LINES: usize = 4_096;
/// Capacity in bytes.
pub const QUEUE_BYTES: usize = 2 << 20;
/// Maximum size of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 64 << 10;

/// Sending end of the queue.
#[derive(Debug)]
pub struct LineSender {
    lines: SyncSender<Vec<u8>>,
    /// Bytes that the receiver has not released.
    held: Arc<AtomicUsize>,
}

/// Receiving end of the queue.
#[derive(Debug)]
pub struct LineReceiver {
    lines: Receiver<Vec<u8>>,
    held: Arc<AtomicUsize>,
}

/// Creates an empty queue.
pub fn line_queue() -> (LineSender, LineReceiver) {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let held = Arc::new(AtomicUsize::new(0));
    let sender = LineSender { lines: sender, held: Arc::clone(&held) };
    (sender, LineReceiver { lines: receiver, held })
}

impl LineSender {
    /// Queues a line; returns whether it is short enough and there was room.
    pub fn try_send(&self, line: Vec<u8>) -> bool {
        let length = line.len();
        let held = self.held.fetch_add(length, Ordering::Relaxed);
        let fits = length <= MAX_LINE_BYTES && held + length <= QUEUE_BYTES;
        let sent = fits && self.lines.try_send(line).is_ok();
        if !sent {
            self.held.fetch_sub(length, Ordering::Relaxed);
        }
        sent
    }
}

impl LineReceiver {
    /// Waits for a line and returns it with all others that are queued; none once the sender is
    /// dropped.
    pub fn recv(&self) -> Option<Vec<u8>> {
        let mut batch = self.lines.recv().ok()?;
        while let Ok(line) = self.lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        Some(batch)
    }

    /// Releases the room of lines that were received.
    pub fn release(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}
