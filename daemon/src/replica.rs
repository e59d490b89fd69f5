//! Keeps a node's copy of the state up to date.
//!
//! Entries follow the platform's log by long polls. Agents ask entries, which
//! spares the log, and read the log themselves only when no entry answers.

use std::time::Duration;

use ident::{NodeId, Timestamp};
use journal::{Journal, ReadError};
use link::Peers;
use node::Event;
use register::{Change, Follower, Page, State};
use tokio::{sync::mpsc, time::sleep};
use uuid::Uuid;
use wire::{Call, Fetch, Reply, Snapshot};

use crate::{inbox::Inbox, tasks::Tasks};

/// Time that a read of the log waits for a record.
const LONG_POLL: Duration = Duration::from_secs(2);
/// Time between two unasked reads of an agent.
const POLL_INTERVAL: Duration = Duration::from_secs(15);
/// Time between two reads of a node that has no configuration yet.
const START_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after the log could not be read.
const OUTAGE_PAUSE: Duration = Duration::from_millis(500);
/// Time for a peer to answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time between two snapshots in the log.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5 * 60);

/// Asks for news at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refresh {
    /// Peer that is known to be ahead, if any.
    pub(crate) peer: Option<NodeId>,
}

/// A node's copy of the state and where its news comes from.
pub(crate) struct Replica {
    /// Copy of the state.
    pub(crate) follower: Follower,
    /// The platform's log.
    pub(crate) journal: Journal,
    /// Connections to peers.
    pub(crate) peers: Peers,
    /// Entries that may be asked.
    pub(crate) seeds: Vec<NodeId>,
    /// Position among the entries that write snapshots.
    pub(crate) rank: usize,
    /// Where news goes.
    pub(crate) inbox: Inbox,
    /// Spawns appends.
    pub(crate) tasks: Tasks,
    /// Requests for news.
    pub(crate) refreshes: mpsc::Receiver<Refresh>,
    /// Seed to ask next.
    pub(crate) next_seed: usize,
    /// Whether the log could not be read last time.
    pub(crate) outage: bool,
}

/// A follower that repeats its state in the log at the usual interval.
pub(crate) fn new_follower() -> Follower {
    Follower::new(Timestamp::now(), SNAPSHOT_INTERVAL)
}

impl Replica {
    /// Follows the log for an entry.
    pub(crate) async fn tail(mut self) {
        loop {
            let journal = self.journal.clone();
            let from = self.follower.next_read();
            tokio::select! {
                page = journal.read(from, LONG_POLL) => match page {
                    Ok(page) => self.on_page(&page).await,
                    Err(err) => self.on_outage(&err).await,
                },
                Some(refresh) = self.refreshes.recv() => self.refresh(refresh).await,
            }
            self.append_snapshot();
        }
    }

    /// Asks entries for an agent.
    pub(crate) async fn poll(mut self) {
        self.ask_any().await;
        loop {
            tokio::select! {
                () = sleep(self.pause()) => self.ask_any().await,
                Some(refresh) = self.refreshes.recv() => self.refresh(refresh).await,
            }
        }
    }

    /// Time until an agent asks unasked, spread so that agents do not ask together.
    fn pause(&self) -> Duration {
        let interval = match self.follower.state().config {
            Some(_) => POLL_INTERVAL,
            None => START_INTERVAL,
        };
        interval.mul_f64(0.5 + rand::random::<f64>())
    }

    /// Applies a page, and asks an entry for what the log has forgotten.
    async fn on_page(&mut self, page: &Page) {
        self.take(page);
        if self.follower.is_searching() {
            self.ask_seed().await;
        }
    }

    async fn on_outage(&mut self, err: &ReadError) {
        self.note_outage(err);
        self.ask_seed().await;
        sleep(OUTAGE_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
    }

    /// Gets news at once; requests that came meanwhile are answered by the same news.
    async fn refresh(&mut self, refresh: Refresh) {
        let fetched = match refresh.peer {
            Some(peer) => self.fetch(peer).await,
            None => false,
        };
        if !fetched {
            self.read_log().await;
        }
        while self.refreshes.try_recv().is_ok() {}
    }

    /// Asks one entry after the other, and the log if none answers.
    async fn ask_any(&mut self) {
        for _ in 0..self.seeds.len() {
            if self.ask_seed().await {
                return;
            }
        }
        self.read_log().await;
    }

    /// Asks the next entry; returns whether it answered.
    async fn ask_seed(&mut self) -> bool {
        if self.seeds.is_empty() {
            return false;
        }
        let seed = self.seeds[self.next_seed % self.seeds.len()];
        self.next_seed += 1;
        self.fetch(seed).await
    }

    /// Asks a peer for its state; returns whether it answered.
    async fn fetch(&mut self, peer: NodeId) -> bool {
        let call = Call::Fetch(Fetch { have: self.follower.state().next_offset });
        match self.peers.call(peer, call, FETCH_TIMEOUT).await {
            Ok(Reply::State(Some(snapshot))) => self.adopt(peer, &snapshot),
            Ok(Reply::State(None)) => true,
            Ok(_) | Err(_) => false,
        }
    }

    fn adopt(&mut self, peer: NodeId, snapshot: &Snapshot) -> bool {
        match State::decode(&snapshot.state) {
            Ok(state) => {
                self.follower.adopt(state, snapshot.read_at);
                self.publish();
                true
            }
            Err(err) => {
                log::warn!("the state of {peer} cannot be used: {err}");
                false
            }
        }
    }

    /// Reads the log up to its end.
    async fn read_log(&mut self) {
        loop {
            match self.journal.read(self.follower.next_read(), Duration::ZERO).await {
                Ok(page) => {
                    let reaches_end = page.reaches_end();
                    self.take(&page);
                    if reaches_end {
                        return;
                    }
                }
                Err(err) => {
                    self.note_outage(&err);
                    return;
                }
            }
        }
    }

    /// Writes one line for an outage, however long it lasts.
    fn note_outage(&mut self, err: &ReadError) {
        if !self.outage {
            self.outage = true;
            log::warn!("{err}");
        }
    }

    fn take(&mut self, page: &Page) {
        if self.outage {
            self.outage = false;
            log::info!("the log can be read again");
        }
        let searched = self.follower.is_searching();
        for Change { offset, applied } in self.follower.on_page(page, Timestamp::now()) {
            log::info!("record {offset}: {applied:?}");
        }
        if !searched && self.follower.is_searching() {
            log::warn!("the log has forgotten records that are needed and holds no snapshot yet");
        }
        self.publish();
    }

    fn publish(&self) {
        let state = self.follower.state().clone();
        self.inbox.send(Event::State { state, read_at: self.follower.read_at() });
    }

    /// Repeats the state in the log before the log forgets the records behind it.
    fn append_snapshot(&mut self) {
        let now = Timestamp::now();
        if !self.follower.snapshot_due(now, self.rank) {
            return;
        }
        let since = self.follower.next_read();
        let record = self.follower.snapshot(Uuid::new_v4(), now);
        let journal = self.journal.clone();
        self.tasks.spawn(async move {
            if let Err(err) = journal.append_checked(&record, since).await {
                log::warn!("the state was not repeated in the log: {err}");
            }
        });
    }
}
