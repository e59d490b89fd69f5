//! Evacuated availability zones that a process knows, and its messages about them.

use std::{collections::BTreeSet, fmt, net::SocketAddrV4, sync::Arc, time::Duration};

use evacuation::{ChangeKind, Knowledge, Spread};
use mesh::{Datagram, Evacuations, Members, Role, Uptime};
use platform::{EvacuationLog, HostSettings, Store, read_evacuations};
use tokio::{sync::watch, time::sleep};

use crate::{
    datagrams::DatagramSocket,
    discovery::{FIRST_READ_DELAY, MAX_READ_INTERVAL, RETRY_DELAY},
    metrics::Metrics,
};

/// Maximum delay before a failed read of the evacuations is repeated.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Where a state comes from.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Source {
    /// The operator's log.
    Store,
    /// The process at this address.
    Process(SocketAddrV4),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Store => f.write_str("store"),
            Source::Process(address) => write!(f, "{address}"),
        }
    }
}

/// Evacuated zones of a process.
pub(crate) struct EvacuationTracker {
    /// Whether the settings enable evacuations.
    active: bool,
    knowledge: Knowledge,
    spread: Spread,
    datagrams: DatagramSocket,
    metrics: Arc<Metrics>,
}

impl EvacuationTracker {
    /// Creates a tracker that knows no evacuation.
    pub(crate) fn new(
        settings: &HostSettings,
        datagrams: DatagramSocket,
        metrics: Arc<Metrics>,
    ) -> EvacuationTracker {
        EvacuationTracker {
            active: settings.evacuation.is_some(),
            knowledge: Knowledge::default(),
            spread: Spread::default(),
            datagrams,
            metrics,
        }
    }

    /// Applies new settings.
    pub(crate) fn update_settings(&mut self, settings: &HostSettings) {
        let active = settings.evacuation.is_some();
        if active != self.active {
            self.active = active;
            let zones = self.knowledge.zones();
            log::info!(active = active, zones:? = zones, end = self.knowledge.end(); "the settings enable or disable evacuations");
            self.set_metrics();
        }
    }

    /// Whether the settings enable evacuations.
    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Whether an agent that started at `started` takes no work yet, as it knows no state.
    pub(crate) fn awaits_state(&self, now: Uptime, started: Uptime) -> bool {
        self.active && self.knowledge.awaits_state(now, started)
    }

    /// Evacuated zones; empty while the settings do not enable evacuations.
    pub(crate) fn zones(&self) -> BTreeSet<String> {
        if self.active { self.knowledge.zones() } else { BTreeSet::new() }
    }

    /// Whether a zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.active && self.knowledge.is_evacuated(zone)
    }

    /// Takes a state over if it is newer.
    pub(crate) fn on_state(&mut self, now: Uptime, source: Source, state: Evacuations) {
        let end = state.end;
        for change in self.knowledge.merge(now, state).unwrap_or_default() {
            let (zone, offset) = (change.zone.as_str(), change.offset);
            if !self.active {
                continue;
            }
            match change.kind {
                ChangeKind::Evacuated => {
                    log::info!(zone = zone, offset = offset, end = end, source:% = source; "a zone is evacuated");
                }
                ChangeKind::TakenBack { known_ms } => {
                    log::info!(zone = zone, offset = offset, end = end, source:% = source, known_ms = known_ms; "a zone is taken back");
                }
            }
        }
        self.set_metrics();
    }

    /// Takes over the state that another process sent, and confirms it.
    pub(crate) fn on_datagram(&mut self, now: Uptime, from: SocketAddrV4, state: Evacuations) {
        if !self.active {
            return;
        }
        self.spread.confirm(from, state.end);
        self.on_state(now, Source::Process(from), state);
        let end = self.knowledge.end();
        self.datagrams.send(from, &Datagram::EvacuationsSeen { end });
    }

    /// Records that another process has a state with this end.
    pub(crate) fn on_seen(&mut self, from: SocketAddrV4, end: u64) {
        self.spread.confirm(from, end);
    }

    /// Records the incarnation of a member in its frame.
    pub(crate) fn observe(&mut self, from: SocketAddrV4, incarnation: u64) {
        self.spread.observe(from, incarnation);
    }

    /// Notifies a member again that asks for members, as a process does after its start.
    pub(crate) fn on_hello(&mut self, from: SocketAddrV4) {
        self.spread.recheck(from);
    }

    /// Sends the state to the members that are due it.
    pub(crate) fn notify_members(&mut self, now: Uptime, members: &Members) {
        let Some(state) = self.knowledge.state().filter(|_| self.active) else { return };
        if !self.knowledge.notifies_members(now) {
            self.spread.clear();
            return;
        }
        let all = [Role::Agent, Role::Entry].into_iter().flat_map(|it| members.with_role(it));
        let due = self.spread.due(now, state.end, all.map(|it| it.address));
        if due.is_empty() {
            return;
        }
        let datagram = Datagram::Evacuations(state.clone());
        for address in due {
            self.datagrams.send(address, &datagram);
        }
    }

    /// Warns of evacuated zones that hold no known member.
    pub(crate) fn check_zones(&mut self, now: Uptime, members: &Members) {
        if !self.active {
            return;
        }
        let has_member = |zone: &str| {
            let all = [Role::Agent, Role::Entry].into_iter().flat_map(|it| members.with_role(it));
            all.chain([members.own()]).any(|it| it.zone == zone)
        };
        for zone in self.knowledge.unknown_zones(now, has_member) {
            log::warn!(zone = zone.as_str(); "an evacuated zone has no known member; its evacuation has no effect");
        }
    }

    fn set_metrics(&self) {
        self.metrics.evacuated_zones.set(self.zones().len() as i64);
        let end = if self.active { self.knowledge.end() } else { 0 };
        self.metrics.evacuations_offset.set(i64::try_from(end).unwrap_or(i64::MAX));
    }
}

/// Reads the evacuated zones from the store while `active` is set, and passes them to `sink`.
///
/// An agent normally hears of an evacuation from the entries. These reads are the fallback, at the
/// same intervals as the reads of the members. Ends when `sink` returns false.
pub(crate) async fn follow_evacuations(
    store: Store,
    mut active: watch::Receiver<bool>,
    mut sink: impl FnMut(Evacuations) -> bool,
) {
    let mut log = EvacuationLog::default();
    let mut delay = FIRST_READ_DELAY;
    let mut retry_delay = RETRY_DELAY;
    let mut has_failed = false;
    while active.wait_for(|it| *it).await.is_ok() {
        match read_evacuations(&store, &mut log).await {
            Ok(state) => {
                if state.is_some_and(|it| !sink(it)) {
                    return;
                }
                (has_failed, retry_delay) = (false, RETRY_DELAY);
                sleep(delay).await;
                delay = (delay * 2).min(MAX_READ_INTERVAL);
            }
            Err(err) => {
                if !has_failed {
                    log::warn!(error:% = err; "reading the evacuations from the store failed; they stay as they are");
                    has_failed = true;
                }
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}
