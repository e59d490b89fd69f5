//! A node's replica of the state.
//!
//! Entries follow the platform's log by long polling. Agents fetch the state from
//! entries, which keeps load off the log, and read the log themselves only when no
//! entry answers.

use std::time::Duration;

use ident::{NodeId, Timestamp};
use journal::{LogClient, ReadError};
use link::Peers;
use node::Event;
use register::{Change, Follower, Page, State};
use tokio::{sync::mpsc, time::sleep};
use uuid::Uuid;
use wire::{Call, Fetch, Reply, Snapshot};

use crate::{mailbox::Mailbox, spawner::Spawner};

/// Time for which a read of the log waits for a record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean interval between an agent's periodic refreshes.
const POLL_INTERVAL: Duration = Duration::from_secs(15);
/// Mean interval between refreshes of an agent that has no configuration yet.
const START_INTERVAL: Duration = Duration::from_millis(250);
/// Mean delay before the next read after the log could not be read.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time within which a peer must answer a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval between snapshots of the state in the log.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5 * 60);

/// Request to update the replica at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refresh {
    /// Peer that is known to have a later state, if any.
    pub(crate) peer: Option<NodeId>,
}

/// A node's replica of the state, with its sources.
pub(crate) struct Replica {
    /// The state, as read so far.
    pub(crate) follower: Follower,
    /// Client of the platform's log.
    pub(crate) log_client: LogClient,
    /// Connections to peers.
    pub(crate) peers: Peers,
    /// Entries to fetch the state from.
    pub(crate) seeds: Vec<NodeId>,
    /// Position among the entries, which staggers their snapshots.
    pub(crate) rank: usize,
    /// Receives each new state.
    pub(crate) mailbox: Mailbox,
    /// Spawns appends of snapshots.
    pub(crate) spawner: Spawner,
    /// Requests to refresh.
    pub(crate) refreshes: mpsc::Receiver<Refresh>,
    /// Index of the next seed to fetch from, modulo their number.
    pub(crate) next_seed: usize,
    /// Whether the last read of the log failed.
    pub(crate) outage: bool,
}

/// Creates a follower that snapshots its state into the log every [`SNAPSHOT_INTERVAL`].
pub(crate) fn new_follower() -> Follower {
    Follower::new(Timestamp::now(), SNAPSHOT_INTERVAL)
}

impl Replica {
    /// Follows the log; the update loop of an entry.
    pub(crate) async fn tail(mut self) {
        loop {
            let log_client = self.log_client.clone();
            let from = self.follower.next_read();
            tokio::select! {
                page = log_client.read(from, LONG_POLL_TIMEOUT) => match page {
                    Ok(page) => self.on_page(&page).await,
                    Err(err) => self.on_outage(&err).await,
                },
                Some(refresh) = self.refreshes.recv() => self.refresh(refresh).await,
            }
            self.append_snapshot();
        }
    }

    /// Fetches the state from entries; the update loop of an agent.
    pub(crate) async fn poll(mut self) {
        self.fetch_from_any().await;
        loop {
            tokio::select! {
                () = sleep(self.refresh_delay()) => self.fetch_from_any().await,
                Some(refresh) = self.refreshes.recv() => self.refresh(refresh).await,
            }
        }
    }

    /// Time until an agent's next refresh, with jitter so that agents don't refresh together.
    fn refresh_delay(&self) -> Duration {
        let interval = match self.follower.state().config {
            Some(_) => POLL_INTERVAL,
            None => START_INTERVAL,
        };
        interval.mul_f64(0.5 + rand::random::<f64>())
    }

    /// Applies a page, and fetches the state from an entry if the log no longer holds it.
    async fn on_page(&mut self, page: &Page) {
        self.apply_page(page);
        if self.follower.is_searching() {
            self.fetch_from_next().await;
        }
    }

    /// Fetches the state from an entry while the log cannot be read.
    async fn on_outage(&mut self, err: &ReadError) {
        self.log_outage(err);
        self.fetch_from_next().await;
        sleep(OUTAGE_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
    }

    /// Updates the replica at once; requests queued meanwhile are served by the same update.
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

    /// Fetches the state from the first entry that answers, or reads the log if none does.
    async fn fetch_from_any(&mut self) {
        for _ in 0..self.seeds.len() {
            if self.fetch_from_next().await {
                return;
            }
        }
        self.read_log().await;
    }

    /// Fetches the state from the next entry; returns whether there was a usable answer.
    async fn fetch_from_next(&mut self) -> bool {
        if self.seeds.is_empty() {
            return false;
        }
        let seed = self.seeds[self.next_seed % self.seeds.len()];
        self.next_seed += 1;
        self.fetch(seed).await
    }

    /// Fetches a later state from a peer; returns whether there was a usable answer.
    async fn fetch(&mut self, peer: NodeId) -> bool {
        let call = Call::Fetch(Fetch { next_offset: self.follower.state().next_offset });
        match self.peers.call(peer, call, FETCH_TIMEOUT).await {
            Ok(Reply::State(Some(snapshot))) => self.adopt(peer, &snapshot),
            Ok(Reply::State(None)) => true,
            Ok(_) | Err(_) => false,
        }
    }

    /// Adopts the state of a peer; returns whether it could be decoded.
    fn adopt(&mut self, peer: NodeId, snapshot: &Snapshot) -> bool {
        match State::decode(&snapshot.state) {
            Ok(state) => {
                self.follower.adopt(state, snapshot.read_at);
                self.send_state();
                true
            }
            Err(err) => {
                log::warn!("cannot decode the state from {peer}: {err}");
                false
            }
        }
    }

    /// Reads the log up to its end.
    async fn read_log(&mut self) {
        loop {
            match self.log_client.read(self.follower.next_read(), Duration::ZERO).await {
                Ok(page) => {
                    let reaches_end = page.reaches_end();
                    self.apply_page(&page);
                    if reaches_end {
                        return;
                    }
                }
                Err(err) => {
                    self.log_outage(&err);
                    return;
                }
            }
        }
    }

    /// Logs an outage once, however long it lasts.
    fn log_outage(&mut self, err: &ReadError) {
        if !self.outage {
            self.outage = true;
            log::warn!("{err}");
        }
    }

    /// Applies a page of the log and sends the new state to the core.
    fn apply_page(&mut self, page: &Page) {
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
        self.send_state();
    }

    /// Sends the state to the core.
    fn send_state(&self) {
        let state = self.follower.state().clone();
        self.mailbox.send(Event::State { state, read_at: self.follower.read_at() });
    }

    /// Appends a snapshot if one is due, before the log drops the records it replaces.
    fn append_snapshot(&mut self) {
        let now = Timestamp::now();
        if !self.follower.snapshot_due(now, self.rank) {
            return;
        }
        let since = self.follower.next_read();
        let record = self.follower.snapshot(Uuid::new_v4(), now);
        let log_client = self.log_client.clone();
        self.spawner.spawn(async move {
            if let Err(err) = log_client.append_checked(&record, since).await {
                log::warn!("cannot append a snapshot to the log: {err}");
            }
        });
    }
}
