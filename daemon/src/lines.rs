//! Writes the log lines of decisions in a thread of their own.
//!
//! A reader of the standard output that is slow must not hold up the node.

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

/// Decisions that may wait to be written.
const MAX_WAITING: usize = 65_536;

/// Time between two looks at decisions that wait to be written.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// Sends decisions to the writing thread, which ends with the last sender.
#[derive(Debug, Clone)]
pub(crate) struct Lines {
    sender: Option<SyncSender<Decision>>,
    waiting: Arc<AtomicUsize>,
}

/// The decision was not written, because lines are written too slowly.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Dropped;

impl Lines {
    /// Starts the thread, if decisions are logged at all.
    pub(crate) fn start() -> Result<Lines> {
        let waiting = Arc::new(AtomicUsize::new(0));
        if !log::log_enabled!(target: logs::DECISION_TARGET, log::Level::Info) {
            return Ok(Lines { sender: None, waiting });
        }
        let (sender, receiver) = sync_channel(MAX_WAITING);
        let written = Arc::clone(&waiting);
        let writer = move || {
            for decision in receiver {
                logs::log_decision(&decision);
                written.fetch_sub(1, Ordering::Relaxed);
            }
        };
        thread::Builder::new()
            .name("decisions".to_owned())
            .spawn(writer)
            .context("the thread that writes decisions cannot be started")?;
        Ok(Lines { sender: Some(sender), waiting })
    }

    /// Queues a decision to be written.
    pub(crate) fn write(&self, decision: &Decision) -> Result<(), Dropped> {
        let Some(sender) = &self.sender else { return Ok(()) };
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if sender.try_send(decision.clone()).is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Err(Dropped);
        }
        Ok(())
    }

    /// Waits until every decision is written, at most for `limit`.
    pub(crate) async fn flush(&self, limit: Duration) {
        let flushed = async {
            while self.waiting.load(Ordering::Relaxed) > 0 {
                sleep(FLUSH_PAUSE).await;
            }
        };
        let _ = timeout(limit, flushed).await;
    }
}
