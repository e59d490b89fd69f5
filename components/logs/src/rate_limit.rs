//! Non-blocking, rate-limited logging to standard output.
//!
//! Lines are encoded by the calling thread and written by a separate one. Lines beyond the
//! rate per second, or beyond what the writer thread keeps up with, are dropped and counted;
//! the count is logged in a line of its own.

use std::{
    fmt,
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use eyre::{Context, Result};
use log::{Level, LevelFilter, Record};
use log4rs::{
    append::Append,
    encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter},
};

use crate::setup::init;

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LINES: usize = 4_096;
/// Divisor of the rate for the share that is reserved for warnings and errors.
const RESERVE_DIVISOR: u32 = 5;

/// Sends log lines to standard output, at most `rate` per second.
///
/// # Errors
///
/// If the writer thread cannot be started or a logger is already installed.
pub fn init_rate_limited(level: LevelFilter, rate: u32) -> Result<()> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_queued(&receiver))
        .context("the log writer thread cannot be started")?;
    let window = Window { started: Instant::now(), used: 0, dropped: 0 };
    let appender =
        RateLimited { encoder: JsonEncoder::new(), sender, rate, window: Mutex::new(window) };
    init(Box::new(appender), level)
}

struct RateLimited {
    encoder: JsonEncoder,
    sender: SyncSender<Vec<u8>>,
    rate: u32,
    window: Mutex<Window>,
}

/// Current second, to which the rate applies.
struct Window {
    started: Instant,
    /// Lines written in this second.
    used: u32,
    /// Lines dropped since the last line that reported any.
    dropped: u64,
}

impl Window {
    /// Counts a line and returns whether it may be written.
    fn admit(&mut self, level: Level, rate: u32) -> bool {
        if self.started.elapsed() >= Duration::from_secs(1) {
            self.started = Instant::now();
            self.used = 0;
        }
        let limit = if level <= Level::Warn { rate } else { rate - rate / RESERVE_DIVISOR };
        if self.used >= limit {
            self.dropped += 1;
            return false;
        }
        self.used += 1;
        true
    }
}

impl Append for RateLimited {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let dropped = {
            let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
            if !window.admit(record.level(), self.rate) {
                return Ok(());
            }
            std::mem::take(&mut window.dropped)
        };
        let mut writer = SimpleWriter(Vec::with_capacity(512));
        self.encoder.encode(&mut writer, record)?;
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"dropped\":{dropped},\"rate\":{}}}\n",
                self.rate
            );
            writer.0.extend_from_slice(line.as_bytes());
        }
        if self.sender.try_send(writer.0).is_err() {
            let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
            window.dropped += dropped + 1;
        }
        Ok(())
    }

    fn flush(&self) {}
}

impl fmt::Debug for RateLimited {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RateLimited").field("rate", &self.rate).finish_non_exhaustive()
    }
}

/// Writes lines in batches of all that are queued.
fn write_queued(lines: &Receiver<Vec<u8>>) {
    while let Ok(mut batch) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        // A failure of standard output cannot be reported anywhere.
        let _ = io::stdout().write_all(&batch);
        let _ = io::stdout().flush();
    }
}
