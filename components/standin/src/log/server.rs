//! Handle of the server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use journal::protocol::RawRecord;
use serde_json::value::RawValue;
use tokio::task::JoinHandle;

use super::{faults::Outage, http, shared::Shared};
use crate::serve;

/// A running log server; it stops when the handle is dropped.
#[derive(Debug)]
pub struct LogServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl LogServer {
    /// Starts an empty log on an ephemeral port of 127.0.0.1.
    pub async fn start() -> eyre::Result<LogServer> {
        LogServer::start_at(serve::ANY_PORT).await
    }

    /// Starts an empty log on a loopback address.
    pub async fn start_at(address: SocketAddr) -> eyre::Result<LogServer> {
        let listener = serve::bind(address).await.wrap_err("cannot bind the log's port")?;
        let address = listener.local_addr().wrap_err("cannot read the log's address")?;
        let shared = Arc::new(Shared::new());
        let task = tokio::spawn(http::accept(listener, Arc::clone(&shared)));
        Ok(LogServer { address, shared, task })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether every call is answered with 503.
    pub fn set_outage(&self, on: bool) {
        self.shared.change(|inner| {
            inner.faults.outage = if on { Outage::Refuse } else { Outage::None };
        });
    }

    /// Whether connections are closed without an answer.
    pub fn set_unreachable(&self, on: bool) {
        self.shared.change(|inner| {
            inner.faults.outage = if on { Outage::Close } else { Outage::None };
        });
    }

    /// Time that each call takes before it has an effect.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.change(|inner| inner.faults.delay = delay);
    }

    /// Lets the next `count` appends take effect without an answer.
    pub fn lose_answers(&self, count: u32) {
        self.shared.change(|inner| inner.faults.lost_answers = count);
    }

    /// Answers the next `count` calls with 503.
    pub fn refuse_calls(&self, count: u32) {
        self.shared.change(|inner| inner.faults.refused_calls = count);
    }

    /// Spaces appends so that no more than `rate` take effect in a second.
    pub fn set_appends_per_s(&self, rate: u32) {
        self.shared.change(|inner| inner.faults.appends_per_s = Some(rate));
    }

    /// Keeps no more than `count` records.
    pub fn set_max_records(&self, count: usize) {
        self.shared.change(|inner| inner.store.max_records = Some(count));
    }

    /// Keeps no record for longer than `age`.
    pub fn set_max_age(&self, age: Duration) {
        self.shared.change(|inner| inner.store.max_age = Some(age));
    }

    /// Drops all records before `offset`.
    pub fn drop_before(&self, offset: u64) {
        self.shared.change(|inner| inner.store.drop_before(offset));
    }

    /// Appends any JSON text and returns its offset.
    pub fn append_raw(&self, json: &str) -> eyre::Result<u64> {
        let record: Box<RawValue> = serde_json::from_str(json).wrap_err("it is not JSON")?;
        Ok(self.shared.change(|inner| inner.store.append(record)))
    }

    /// Records that the log keeps.
    pub fn records(&self) -> Vec<RawRecord> {
        let inner = self.shared.lock();
        inner.store.read(0, usize::MAX).records
    }

    /// Offset that the next append will be given.
    pub fn end(&self) -> u64 {
        self.shared.lock().store.end()
    }

    /// Appends that took effect over HTTP.
    pub fn appends(&self) -> u64 {
        self.shared.lock().appends
    }

    /// Reads that wait for a record at present.
    pub fn waiting(&self) -> usize {
        self.shared.waiting()
    }

    /// Reads that were answered with a page.
    pub fn reads(&self) -> u64 {
        self.shared.lock().reads
    }
}

impl Drop for LogServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
