//! The entries that an agent works for.

use std::{collections::BTreeMap, net::SocketAddrV4};

use mesh::{Channel, Command, Notice, Uptime};

/// Entries by their addresses.
pub(crate) type Entries = BTreeMap<SocketAddrV4, Entry>;

/// One entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) channel: Channel<Notice, Command>,
    /// Time of the last datagram from it.
    pub(crate) heard: Uptime,
    /// Time of the last report that it is known to have heard.
    pub(crate) echoed: Uptime,
    /// Its runs have been stopped since it went silent.
    pub(crate) silent: bool,
    /// Its work that waits for room, in core-milliseconds.
    pub(crate) waiting: u32,
    /// It asked for a report.
    pub(crate) probed: bool,
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
