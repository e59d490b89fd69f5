//! State kept for each entry that sends orders to the agent.

use std::{collections::BTreeMap, net::SocketAddrV4};

use mesh::{Channel, Command, Notice, Uptime};

use crate::{crashes::Confirmation, grants::Grant};

/// Entries by address.
pub(crate) type Entries = BTreeMap<SocketAddrV4, Entry>;

/// An entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) channel: Channel<Notice, Command>,
    /// Time of arrival of the last datagram.
    pub(crate) last_received: Uptime,
    /// Time of the newest report that the entry has acknowledged.
    pub(crate) last_acknowledged: Uptime,
    /// Timed out; its runs have been stopped.
    pub(crate) timed_out: bool,
    /// Work queued at the entry for lack of resources, in core-milliseconds.
    pub(crate) waiting: u32,
    /// Has requested a report that is not sent yet.
    pub(crate) probed: bool,
    /// Time of the last report sent.
    pub(crate) last_report: Uptime,
    /// Number of consecutive offers to it that ended without an order.
    pub(crate) unused_offers: u32,
    /// Room that the last report has shown.
    pub(crate) grant: Grant,
    /// What it has confirmed of the endpoint's crashes.
    pub(crate) crashes_seen: Confirmation,
}

/// Number of consecutive unused offers up to which an entry keeps its share of the offers; what
/// one of them shows may be too little for a task.
const FREE_UNUSED_OFFERS: u32 = 16;
/// Number of times that its share is halved at most.
const MAX_HALVINGS: u32 = 6;

impl Entry {
    pub(crate) fn new(incarnation: u64, now: Uptime) -> Entry {
        Entry {
            channel: Channel::new(incarnation),
            last_received: now,
            last_acknowledged: now,
            timed_out: false,
            waiting: 0,
            probed: false,
            last_report: Uptime::default(),
            unused_offers: 0,
            grant: Grant::default(),
            crashes_seen: Confirmation::new(incarnation),
        }
    }

    /// Weight in the choice of the entry to which room is offered; halved for each further offer
    /// that it does not use, since one that is slow or cut off would keep room from the others.
    pub(crate) fn offer_weight(&self) -> u64 {
        let halvings = self.unused_offers.saturating_sub(FREE_UNUSED_OFFERS).min(MAX_HALVINGS);
        let weight = u64::from(self.waiting) >> halvings;
        if self.waiting > 0 { weight.max(1) } else { 0 }
    }
}
