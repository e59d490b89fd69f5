//! State kept for each entry that sends orders to the agent.

use std::{collections::BTreeMap, net::SocketAddrV4};

use mesh::{Channel, Command, Notice, Uptime};

/// Entries by address.
pub(crate) type Entries = BTreeMap<SocketAddrV4, Entry>;

/// An entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) channel: Channel<Notice, Command>,
    /// Time of arrival of the last datagram.
    pub(crate) heard: Uptime,
    /// Time of the newest report that the entry has confirmed.
    pub(crate) echoed: Uptime,
    /// Timed out; its runs have been stopped.
    pub(crate) silent: bool,
    /// Work queued at the entry for lack of resources, in core-milliseconds.
    pub(crate) waiting: u32,
    /// Has requested a report that is not sent yet.
    pub(crate) probed: bool,
    /// Time of the last report sent.
    pub(crate) reported: Uptime,
}

impl Entry {
    pub(crate) fn new(own: u64, now: Uptime) -> Entry {
        Entry {
            channel: Channel::new(own),
            heard: now,
            echoed: now,
            silent: false,
            waiting: 0,
            probed: false,
            reported: Uptime::default(),
        }
    }
}
