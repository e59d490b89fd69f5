//! Faults of an endpoint that a test can switch on.

use std::{
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time::Duration,
};

use tokio::sync::watch;

/// What is wrong with an endpoint at present.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It answers each request with status 500 at once.
    FailAll,
    /// It takes this many times as long as it should.
    Straggler(u32),
    /// It runs requests, but answers none; connections of this time stay silent.
    Silent,
    /// It refuses connections and has closed the old ones.
    Down,
    /// It answers this long after the request has ended.
    Late(Duration),
}

/// Fault in force, shared between the handle and the server.
#[derive(Debug)]
pub(crate) struct Faults {
    fault: watch::Sender<Fault>,
    next_connection: AtomicU64,
    first_working: AtomicU64,
    open: AtomicUsize,
}

/// Counts a connection as open until dropped.
#[derive(Debug)]
pub(crate) struct Open<'a> {
    faults: &'a Faults,
}

impl Faults {
    /// Starts without a fault.
    pub(crate) fn new() -> Faults {
        Faults {
            fault: watch::Sender::new(Fault::None),
            next_connection: AtomicU64::new(0),
            first_working: AtomicU64::new(0),
            open: AtomicUsize::new(0),
        }
    }

    /// Puts `fault` in force.
    pub(crate) fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Makes every connection opened so far deliver nothing from now on.
    pub(crate) fn silence_connections(&self) {
        let next = self.next_connection.load(Ordering::SeqCst);
        self.first_working.store(next, Ordering::SeqCst);
    }

    /// Fault in force.
    pub(crate) fn current(&self) -> Fault {
        *self.fault.borrow()
    }

    /// Waits until the endpoint is down.
    pub(crate) async fn down(&self) {
        self.wait_for(|fault| *fault == Fault::Down).await;
    }

    /// Waits until the endpoint is not down.
    pub(crate) async fn up(&self) {
        self.wait_for(|fault| *fault != Fault::Down).await;
    }

    /// Counts a connection as open until the result is dropped.
    pub(crate) fn count_open(&self) -> Open<'_> {
        self.open.fetch_add(1, Ordering::SeqCst);
        Open { faults: self }
    }

    /// Number of connections that are open.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Number for a new connection.
    pub(crate) fn next_connection(&self) -> u64 {
        self.next_connection.fetch_add(1, Ordering::SeqCst)
    }

    /// Whether the connection delivers nothing.
    pub(crate) fn is_silenced(&self, connection: u64) -> bool {
        connection < self.first_working.load(Ordering::SeqCst)
    }

    /// Time that a run of `declared` takes.
    pub(crate) fn run_time(&self, declared: Duration) -> Duration {
        match self.current() {
            Fault::Straggler(factor) => declared * factor,
            Fault::None | Fault::FailAll | Fault::Silent | Fault::Down | Fault::Late(_) => declared,
        }
    }

    /// Holds an answer back as long as the fault wants, perhaps for ever.
    pub(crate) async fn hold_answer(&self) {
        match self.current() {
            Fault::Silent => std::future::pending().await,
            Fault::Late(delay) => tokio::time::sleep(delay).await,
            Fault::None | Fault::FailAll | Fault::Straggler(_) | Fault::Down => {}
        }
    }

    async fn wait_for(&self, condition: impl FnMut(&Fault) -> bool) {
        let mut receiver = self.fault.subscribe();
        receiver.wait_for(condition).await.expect("the sender lives as long as this value");
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.faults.open.fetch_sub(1, Ordering::SeqCst);
    }
}
