//! Handle of the log server.

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

    /// Answers every call with 503 while on.
    pub fn set_outage(&self, on: bool) {
        self.shared.change(|inner| {
            inner.faults.outage = if on { Outage::Refuse } else { Outage::None };
        });
    }

    /// Closes connections without an answer while on.
    pub fn set_unreachable(&self, on: bool) {
        self.shared.change(|inner| {
            inner.faults.outage = if on { Outage::Close } else { Outage::None };
        });
    }

    /// Delays each call by this long before it takes effect.
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

    /// Limits the rate of appends, per second, by spacing them evenly.
    pub fn set_appends_per_s(&self, rate: u32) {
        self.shared.change(|inner| inner.faults.appends_per_s = Some(rate));
    }

    /// Limits the number of records kept.
    pub fn set_max_records(&self, count: usize) {
        self.shared.change(|inner| inner.store.max_records = Some(count));
    }

    /// Limits the time for which a record is kept.
    pub fn set_max_age(&self, age: Duration) {
        self.shared.change(|inner| inner.store.max_age = Some(age));
    }

    /// Drops all records before `offset`.
    pub fn drop_before(&self, offset: u64) {
        self.shared.change(|inner| inner.store.drop_before(offset));
    }

    /// Appends a JSON value without decoding it; returns its offset.
    pub fn append_raw(&self, json: &str) -> eyre::Result<u64> {
        let record: Box<RawValue> =
            serde_json::from_str(json).wrap_err("the record is not JSON")?;
        Ok(self.shared.change(|inner| inner.store.append(record)))
    }

    /// Records held by the log.
    pub fn records(&self) -> Vec<RawRecord> {
        let inner = self.shared.lock();
        inner.store.read(0, usize::MAX).records
    }

    /// Offset of the next record.
    pub fn end(&self) -> u64 {
        self.shared.lock().store.end()
    }

    /// Number of appends that took effect over HTTP.
    pub fn appends(&self) -> u64 {
        self.shared.lock().appends
    }

    /// Number of reads waiting for a record.
    pub fn waiting(&self) -> usize {
        self.shared.waiting()
    }

    /// Number of reads answered with a page.
    pub fn reads(&self) -> u64 {
        self.shared.lock().reads
    }
}

impl Drop for LogServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
