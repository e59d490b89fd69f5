//! Requests for a configuration.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    net::SocketAddrV4,
};

use broker::Config;
use mesh::{ConfigPart, Uptime};

use crate::{
    order::{Order, compare},
    parts::PartialSet,
};

/// Interval between two requests, in ms.
///
/// An entry that is asked answers with one configuration at most, so it also bounds what a
/// requester receives to four configurations a second.
pub const REQUEST_INTERVAL_MS: u64 = 250;
/// Time without an answer of the store after which other entries are asked, in ms.
///
/// A long poll takes up to 500 ms, and a call that fails up to 1,600.
pub const STORE_SILENCE_MS: u64 = 2_000;
/// Time after its first part at which an incomplete set is dropped, and after a request during
/// which parts are accepted, in ms.
pub const SET_TIMEOUT_MS: u64 = 1_000;

/// Why an entry asks others for their configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NeedReason {
    /// It has none.
    NoConfig,
    /// Its store does not answer.
    StoreSilent,
}

/// Result of a part.
#[derive(Debug, PartialEq)]
pub enum Received {
    /// The part was not asked for, or is of a configuration that is not newer.
    Ignored,
    /// Further parts are missing.
    Incomplete,
    /// The set is complete, and the configuration is newer than the one in force.
    Complete(Box<Config>),
    /// The set is dropped.
    Damaged,
}

/// Decides which entry is asked when, and assembles the answers.
#[derive(Debug, Default)]
pub struct Requester {
    /// Time of the newest request, by entry.
    asked: HashMap<SocketAddrV4, Uptime>,
    /// The same for entries whose answer is not complete.
    awaited: HashMap<SocketAddrV4, Uptime>,
    last_request: Option<Uptime>,
    /// Sets in progress, by sender.
    sets: BTreeMap<SocketAddrV4, PartialSet>,
    /// Offset of the newest configuration that was refused, which is not asked for again.
    refused: Option<u64>,
    reason: Option<NeedReason>,
}

impl fmt::Display for NeedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NeedReason::NoConfig => "no configuration",
            NeedReason::StoreSilent => "the store does not answer",
        })
    }
}

impl Requester {
    /// Drops sets that stay incomplete, and returns the entry to ask and the offset to state if a
    /// request is due.
    ///
    /// `peers` are the known entries, and `store_silence` is the time since the store's last
    /// answer, in ms. The entry whose last request is the longest ago is asked, so that one that
    /// never answers delays the others by one interval only.
    pub fn tick(
        &mut self,
        now: Uptime,
        peers: &[SocketAddrV4],
        current: Option<&Config>,
        store_silence: u64,
    ) -> Option<(SocketAddrV4, Option<u64>)> {
        self.drop_incomplete(now);
        let reason = match current {
            None => Some(NeedReason::NoConfig),
            Some(_) if store_silence >= STORE_SILENCE_MS => Some(NeedReason::StoreSilent),
            Some(_) => None,
        };
        if reason != self.reason {
            self.reason = reason;
            match reason {
                Some(reason) => {
                    log::info!(reason:% = reason, entries = peers.len(); "other entries are asked for their configuration")
                }
                None => log::info!("other entries are no longer asked for their configuration"),
            }
        }
        reason?;
        if self.last_request.is_some_and(|at| now.since(at) < REQUEST_INTERVAL_MS) {
            return None;
        }
        self.asked.retain(|address, _| peers.contains(address));
        let peer = *peers.iter().min_by_key(|it| self.asked.get(it))?;
        self.asked.insert(peer, now);
        self.awaited.insert(peer, now);
        self.last_request = Some(now);
        Some((peer, current.map(|it| it.offset).max(self.refused)))
    }

    /// Handles a part.
    pub fn on_part(
        &mut self,
        now: Uptime,
        from: SocketAddrV4,
        part: ConfigPart,
        current: Option<&Config>,
    ) -> Received {
        self.drop_incomplete(now);
        let known = current.map(|it| it.offset).max(self.refused);
        if known.is_some_and(|known| part.offset <= known) {
            return Received::Ignored;
        }
        let in_progress = self.sets.get(&from).map(|it| it.offset);
        match in_progress {
            Some(offset) if part.offset < offset => return Received::Ignored,
            // The sender has got a newer configuration, so the rest of this one won't arrive.
            Some(offset) if part.offset > offset => {
                self.sets.remove(&from);
            }
            Some(_) => {}
            None if !self.awaited.contains_key(&from) => return Received::Ignored,
            None => {}
        }
        let set = match self.sets.remove(&from) {
            Some(set) => Some(set),
            None => PartialSet::new(now, &part),
        };
        let offset = part.offset;
        let Some(mut set) = set else {
            return damaged(from, offset, "the number of its parts is out of range");
        };
        if !set.add(part) {
            return damaged(from, offset, "a part does not fit the others");
        }
        let (arrived, count) = set.progress();
        if arrived < count {
            self.sets.insert(from, set);
            return Received::Incomplete;
        }
        self.awaited.remove(&from);
        match set.decode() {
            Ok(config) => self.judge(from, config, current),
            Err(error) => damaged(from, offset, &error),
        }
    }

    fn judge(&mut self, from: SocketAddrV4, config: Config, current: Option<&Config>) -> Received {
        match compare(current, &config) {
            Order::Newer => Received::Complete(Box::new(config)),
            Order::NotNewer => Received::Ignored,
            Order::FallingVersion => {
                self.refused = Some(config.offset);
                log::warn!(from:% = from, offset = config.offset, version = config.version; "refusing a configuration whose version falls");
                Received::Ignored
            }
        }
    }

    fn drop_incomplete(&mut self, now: Uptime) {
        self.awaited.retain(|_, at| now.since(*at) < SET_TIMEOUT_MS);
        self.sets.retain(|from, set| {
            let keeps = now.since(set.since) < SET_TIMEOUT_MS;
            if !keeps {
                let (arrived, count) = set.progress();
                log::info!(from:% = from, offset = set.offset, arrived = arrived, count = count; "an incomplete configuration of another entry is dropped");
            }
            keeps
        });
    }
}

fn damaged(from: SocketAddrV4, offset: u64, error: &str) -> Received {
    log::warn!(from:% = from, offset = offset, error = error; "a damaged configuration of another entry is dropped");
    Received::Damaged
}
