//! Writes the log lines of decisions in a thread of their own.
//!
//! A reader of the standard output that is slow must not hold up the node.

use std::{
    sync::mpsc::{SyncSender, sync_channel},
    thread,
};

use eyre::{Context, Result};
use node::Decision;

/// Decisions that may wait to be written.
const MAX_WAITING: usize = 65_536;

/// Sends decisions to the writing thread, which ends with the last sender.
#[derive(Debug, Clone)]
pub(crate) struct Lines {
    sender: Option<SyncSender<Decision>>,
}

/// The decision was not written, because lines are written too slowly.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Dropped;

impl Lines {
    /// Starts the thread, if decisions are logged at all.
    pub(crate) fn start() -> Result<Lines> {
        if !log::log_enabled!(target: logs::DECISION_TARGET, log::Level::Info) {
            return Ok(Lines { sender: None });
        }
        let (sender, receiver) = sync_channel(MAX_WAITING);
        let writer = move || {
            for decision in receiver {
                logs::decision(&decision);
            }
        };
        thread::Builder::new()
            .name("decisions".to_owned())
            .spawn(writer)
            .context("the thread that writes decisions cannot be started")?;
        Ok(Lines { sender: Some(sender) })
    }

    /// Queues a decision to be written.
    pub(crate) fn write(&self, decision: &Decision) -> Result<(), Dropped> {
        match &self.sender {
            Some(sender) => sender.try_send(decision.clone()).map_err(|_| Dropped),
            None => Ok(()),
        }
    }
}
