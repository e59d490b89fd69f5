//! Logs decisions from a dedicated thread, so that a slow reader of the standard
//! output does not block the node.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::{SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use eyre::{Context, Result};
use node::Decision;
use tokio::time::{sleep, timeout};

/// Decisions that may be queued for writing.
const MAX_QUEUED: usize = 65_536;

/// Interval at which a flush checks for queued decisions.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Sends decisions to the logging thread, which ends when the last clone is dropped.
#[derive(Debug, Clone)]
pub(crate) struct DecisionLog {
    sender: Option<SyncSender<Decision>>,
    queued: Arc<AtomicUsize>,
}

/// The decision was dropped because the queue is full.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Dropped;

impl DecisionLog {
    /// Starts the logging thread, if decisions are logged at all.
    pub(crate) fn start() -> Result<DecisionLog> {
        let queued = Arc::new(AtomicUsize::new(0));
        if !log::log_enabled!(target: logs::DECISION_TARGET, log::Level::Info) {
            return Ok(DecisionLog { sender: None, queued });
        }
        let (sender, receiver) = sync_channel(MAX_QUEUED);
        let written = Arc::clone(&queued);
        let writer = move || {
            for decision in receiver {
                logs::log_decision(&decision);
                written.fetch_sub(1, Ordering::Relaxed);
            }
        };
        thread::Builder::new()
            .name("decisions".to_owned())
            .spawn(writer)
            .context("cannot start the thread that logs decisions")?;
        Ok(DecisionLog { sender: Some(sender), queued })
    }

    /// Queues a decision for writing.
    pub(crate) fn write(&self, decision: &Decision) -> Result<(), Dropped> {
        let Some(sender) = &self.sender else { return Ok(()) };
        self.queued.fetch_add(1, Ordering::Relaxed);
        if sender.try_send(decision.clone()).is_err() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            return Err(Dropped);
        }
        Ok(())
    }

    /// Waits up to `limit` until all queued decisions are written.
    pub(crate) async fn flush(&self, limit: Duration) {
        let flushed = async {
            while self.queued.load(Ordering::Relaxed) > 0 {
                sleep(FLUSH_INTERVAL).await;
            }
        };
        let _ = timeout(limit, flushed).await;
    }
}
