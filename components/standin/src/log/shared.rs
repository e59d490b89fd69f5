//! State shared by the handle and the connections.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use journal::protocol::Records;
use serde_json::value::RawValue;
use tokio::sync::watch;

use super::{
    faults::{Faults, Outage},
    store::Store,
};

/// Log with its faults and counters.
#[derive(Debug)]
pub(super) struct Shared {
    inner: Mutex<Inner>,
    /// Number of changes, which waiting reads watch.
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) store: Store,
    pub(super) faults: Faults,
    /// Earliest time of the next append.
    next_append: Instant,
    pub(super) appends: u64,
    pub(super) reads: u64,
}

/// Result of an append.
pub(super) enum Append {
    /// Took effect at this offset; its caller gets the answer.
    Answered(u64),
    /// Took effect, but the answer is lost.
    Lost,
}

impl Shared {
    /// An empty log without faults.
    pub(super) fn new() -> Shared {
        let (changes, _) = watch::channel(0);
        let inner = Inner {
            store: Store::new(),
            faults: Faults::default(),
            next_append: Instant::now(),
            appends: 0,
            reads: 0,
        };
        Shared { inner: Mutex::new(inner), changes }
    }

    /// Current faults.
    pub(super) fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Locks the state.
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and wakes waiting reads.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let result = change(&mut self.lock());
        self.changes.send_modify(|count| *count += 1);
        result
    }

    /// Number of reads waiting for a record.
    pub(super) fn waiting(&self) -> usize {
        self.changes.receiver_count()
    }

    /// Outage that applies to the next call.
    pub(super) fn outage(&self) -> Outage {
        let mut inner = self.lock();
        if inner.faults.refused_calls > 0 {
            inner.faults.refused_calls -= 1;
            return Outage::Refuse;
        }
        inner.faults.outage
    }

    /// Reads a page of records.
    pub(super) fn page(&self, from: u64, limit: usize) -> Records {
        let mut inner = self.lock();
        inner.reads += 1;
        inner.store.expire();
        inner.store.read(from, limit)
    }

    /// Reserves the time at which an append takes effect, at the limited rate.
    pub(super) fn reserve_append(&self) -> Instant {
        let mut inner = self.lock();
        let at = inner.next_append.max(Instant::now());
        if let Some(rate) = inner.faults.appends_per_s {
            inner.next_append = at + Duration::from_secs(1) / rate.max(1);
        }
        at
    }

    /// Appends a record; the result tells whether its answer is lost.
    pub(super) fn append(&self, record: Box<RawValue>) -> Append {
        self.change(|inner| {
            inner.appends += 1;
            let lost = inner.faults.lost_answers > 0;
            inner.faults.lost_answers = inner.faults.lost_answers.saturating_sub(1);
            let offset = inner.store.append(record);
            match lost {
                true => Append::Lost,
                false => Append::Answered(offset),
            }
        })
    }

    /// Waits until there is a record at or after `from`, or an outage.
    pub(super) async fn wait_for_records(&self, from: u64) {
        let mut changes = self.changes.subscribe();
        loop {
            let is_ready = {
                let inner = self.lock();
                inner.store.end() > from || inner.faults.outage != Outage::None
            };
            if is_ready || changes.changed().await.is_err() {
                return;
            }
        }
    }
}
