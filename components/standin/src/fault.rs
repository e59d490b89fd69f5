//! Fault injection for endpoints.

use std::{
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time::Duration,
};

use tokio::sync::watch;

/// Fault of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Answers each request with status 500 at once.
    FailAll,
    /// Multiplies run times by this factor.
    Straggler(u32),
    /// Runs requests, but never answers them; their connections stay silent after the fault ends.
    Silent,
    /// Refuses new connections and closes open ones.
    Down,
    /// Delays each answer by this long after the request has ended.
    Late(Duration),
}

/// Current fault and connection counters, shared between handle and server.
#[derive(Debug)]
pub(crate) struct Faults {
    fault: watch::Sender<Fault>,
    next_connection: AtomicU64,
    first_unsilenced: AtomicU64,
    open: AtomicUsize,
}

/// Guard that counts a connection as open until dropped.
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
            first_unsilenced: AtomicU64::new(0),
            open: AtomicUsize::new(0),
        }
    }

    /// Sets the fault.
    pub(crate) fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Silences every connection opened so far: from now on it delivers nothing.
    pub(crate) fn silence_connections(&self) {
        let next = self.next_connection.load(Ordering::SeqCst);
        self.first_unsilenced.store(next, Ordering::SeqCst);
    }

    /// Current fault.
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

    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Number for a new connection.
    pub(crate) fn next_connection(&self) -> u64 {
        self.next_connection.fetch_add(1, Ordering::SeqCst)
    }

    /// Whether the connection is silenced.
    pub(crate) fn is_silenced(&self, connection: u64) -> bool {
        connection < self.first_unsilenced.load(Ordering::SeqCst)
    }

    /// Actual run time for a declared one.
    pub(crate) fn run_time(&self, declared: Duration) -> Duration {
        match self.current() {
            Fault::Straggler(factor) => declared * factor,
            Fault::None | Fault::FailAll | Fault::Silent | Fault::Down | Fault::Late(_) => declared,
        }
    }

    /// Delays an answer as the fault demands: not at all, for a time or forever.
    pub(crate) async fn delay_answer(&self) {
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
