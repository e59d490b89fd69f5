//! What the handle and the connections share.

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

/// The log, shared by its handle and its connections.
#[derive(Debug)]
pub(super) struct Shared {
    inner: Mutex<Inner>,
    /// Counts changes that waiting readers must look at.
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) store: Store,
    pub(super) faults: Faults,
    /// Time at which the next append may take effect.
    next_append: Instant,
    pub(super) appends: u64,
    pub(super) reads: u64,
}

/// What became of an append.
pub(super) enum Append {
    /// It took effect and is answered.
    Answered(u64),
    /// It took effect and its answer is lost.
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

    /// Faults at present.
    pub(super) fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Gives access to everything.
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what a handle changes and wakes waiting readers.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let result = change(&mut self.lock());
        self.changes.send_modify(|count| *count += 1);
        result
    }

    /// Reads that wait for a record.
    pub(super) fn waiting(&self) -> usize {
        self.changes.receiver_count()
    }

    /// How the next call fails.
    pub(super) fn outage(&self) -> Outage {
        let mut inner = self.lock();
        if inner.faults.refused_calls > 0 {
            inner.faults.refused_calls -= 1;
            return Outage::Refuse;
        }
        inner.faults.outage
    }

    /// Answers a read.
    pub(super) fn page(&self, from: u64, limit: usize) -> Records {
        let mut inner = self.lock();
        inner.reads += 1;
        inner.store.expire();
        inner.store.read(from, limit)
    }

    /// Time at which the next append may take effect.
    pub(super) fn take_turn(&self) -> Instant {
        let mut inner = self.lock();
        let turn = inner.next_append.max(Instant::now());
        if let Some(rate) = inner.faults.appends_per_s {
            inner.next_append = turn + Duration::from_secs(1) / rate.max(1);
        }
        turn
    }

    /// Appends a record; the answer says whether the caller hears of it.
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

    /// Returns when there is a record at or after `from`, or an outage.
    pub(super) async fn wait_for_records(&self, from: u64) {
        let mut changes = self.changes.subscribe();
        loop {
            let wakes = {
                let inner = self.lock();
                inner.store.end() > from || inner.faults.outage != Outage::None
            };
            if wakes || changes.changed().await.is_err() {
                return;
            }
        }
    }
}
