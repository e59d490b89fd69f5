//! Non-blocking, rate-limited logging to standard output.
//!
//! Lines are encoded by the calling thread and written by a separate one. Lines beyond the
//! [`Budget`], beyond what the writer thread keeps up with, or of an excessive size are dropped and
//! counted; the counts are logged once a second in a line of their own.

use std::{
    collections::BTreeMap,
    fmt,
    io::{self, Write},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Instant,
};

use eyre::{Context, Result};
use log::{LevelFilter, Record};
use log4rs::{
    append::Append,
    encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter},
};

use crate::{
    budget::{Budget, Kind},
    queue::{LineReceiver, LineSender, line_queue},
    setup::init,
};

/// Kind of lines whose message is not a literal and whose module is not known.
const OTHER_KIND: Kind = "other";

/// Sends log lines to standard output, at most `rate` per second and the first of each kind.
///
/// # Errors
///
/// If the writer thread cannot be started or a logger is already installed.
pub fn init_rate_limited(level: LevelFilter, rate: u32) -> Result<()> {
    let (sender, receiver) = line_queue();
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_queued(&receiver))
        .context("the log writer thread cannot be started")?;
    let budget = Mutex::new(Budget::new(Instant::now(), rate));
    let appender = RateLimited { encoder: JsonEncoder::new(), sender, rate, budget };
    init(Box::new(appender), level)
}

struct RateLimited {
    encoder: JsonEncoder,
    sender: LineSender,
    rate: u32,
    budget: Mutex<Budget>,
}

impl RateLimited {
    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Append for RateLimited {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let kind = kind_of(record);
        let (dropped, admitted) = {
            let mut budget = self.budget();
            (budget.renew(Instant::now()), budget.admit(record.level(), kind))
        };
        let mut writer = SimpleWriter(Vec::with_capacity(512));
        if !dropped.is_empty() {
            write_dropped(&mut writer.0, &dropped, self.rate)?;
        }
        if admitted {
            self.encoder.encode(&mut writer, record)?;
        }
        if !writer.0.is_empty() && !self.sender.try_send(writer.0) {
            let mut budget = self.budget();
            for (kind, count) in dropped {
                budget.count_dropped(kind, count);
            }
            if admitted {
                budget.count_dropped(kind, 1);
            }
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

/// Kind of a line: its message, or the module of one whose message is formatted.
fn kind_of(record: &Record<'_>) -> Kind {
    record.args().as_str().or_else(|| record.module_path_static()).unwrap_or(OTHER_KIND)
}

/// Writes the line that counts dropped lines by kind.
fn write_dropped(
    line: &mut Vec<u8>,
    dropped: &BTreeMap<Kind, u64>,
    rate: u32,
) -> serde_json::Result<()> {
    let report = serde_json::json!({
        "level": "WARN",
        "message": "log lines were dropped",
        "dropped": dropped.values().sum::<u64>(),
        "rate": rate,
        "kinds": dropped,
    });
    serde_json::to_writer(&mut *line, &report)?;
    line.push(b'\n');
    Ok(())
}

/// Writes lines in batches of all that are queued.
fn write_queued(lines: &LineReceiver) {
    while let Some(batch) = lines.recv() {
        // A failure of standard output cannot be reported anywhere.
        let _ = io::stdout().write_all(&batch);
        let _ = io::stdout().flush();
        lines.release(batch.len());
    }
}
