//! Open connections of clients.
//!
//! At the limit, a new connection displaces the one that has sent no whole request for the longest
//! time: one that is idle, sends a request slowly, or does not read its answers. A connection whose
//! request is being answered is never displaced.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use slotmap::{SlotMap, new_key_type};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

new_key_type! {
    struct ConnectionKey;
}

/// Table of open connections; clones share it.
#[derive(Clone)]
pub struct Connections {
    shared: Arc<Shared>,
}

struct Shared {
    permits: Arc<Semaphore>,
    table: Mutex<Table>,
}

#[derive(Default)]
struct Table {
    states: SlotMap<ConnectionKey, State>,
    displaced: u64,
    refused: u64,
}

/// State of a connection.
struct State {
    /// Time of the last answer, or of the start.
    quiet_since: Instant,
    /// Number of requests that are being answered.
    answering: usize,
    displaced: CancellationToken,
}

/// An open connection, which ends on drop.
pub struct Connection {
    shared: Arc<Shared>,
    key: ConnectionKey,
    displaced: CancellationToken,
    _permit: OwnedSemaphorePermit,
}

/// Handle to a connection's state; clones share it.
#[derive(Clone)]
pub struct Activity {
    shared: Arc<Shared>,
    key: ConnectionKey,
}

/// Keeps a connection from being displaced while a request on it is answered.
pub struct AnswerGuard(Activity);

impl Connections {
    /// Creates a table for up to `limit` connections.
    pub fn new(limit: usize) -> Connections {
        let permits = Arc::new(Semaphore::new(limit.min(Semaphore::MAX_PERMITS)));
        Connections { shared: Arc::new(Shared { permits, table: Mutex::default() }) }
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.shared.lock().states.len()
    }

    /// Number of connections that were displaced so far, and of those that found no room.
    pub fn counts(&self) -> (u64, u64) {
        let table = self.shared.lock();
        (table.displaced, table.refused)
    }

    /// Adds a connection, and waits until a displaced one has ended if there are too many; none if
    /// all of them are being answered.
    pub async fn admit(&self) -> Option<Connection> {
        let permits = Arc::clone(&self.shared.permits);
        let permit = match Arc::clone(&permits).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) if self.shared.lock().displace() => permits.acquire_owned().await.ok()?,
            Err(_) => {
                self.shared.lock().refused += 1;
                return None;
            }
        };
        let displaced = CancellationToken::new();
        let state =
            State { quiet_since: Instant::now(), answering: 0, displaced: displaced.clone() };
        let key = self.shared.lock().states.insert(state);
        Some(Connection { shared: Arc::clone(&self.shared), key, displaced, _permit: permit })
    }
}

impl Connection {
    /// Waits until the connection has to end because another one displaced it.
    pub async fn wait_until_displaced(&self) {
        self.displaced.cancelled().await;
    }

    /// Handle to mark requests on the connection that are being answered.
    pub fn activity(&self) -> Activity {
        Activity { shared: Arc::clone(&self.shared), key: self.key }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.lock().states.remove(self.key);
    }
}

impl Activity {
    /// Marks the start of an answer: the whole request has arrived.
    pub fn begin_answer(&self) -> AnswerGuard {
        if let Some(state) = self.shared.lock().states.get_mut(self.key) {
            state.answering += 1;
        }
        AnswerGuard(self.clone())
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        let AnswerGuard(activity) = self;
        if let Some(state) = activity.shared.lock().states.get_mut(activity.key) {
            state.answering -= 1;
            state.quiet_since = Instant::now();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    /// Tells a connection to end; returns whether there is one that may.
    fn displace(&mut self) -> bool {
        let quiet = self.states.iter().filter(|(_, it)| it.answering == 0);
        let Some((key, _)) = quiet.min_by_key(|(_, it)| it.quiet_since) else { return false };
        if let Some(state) = self.states.remove(key) {
            state.displaced.cancel();
            self.displaced += 1;
        }
        true
    }
}
