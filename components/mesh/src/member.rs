//! Discovery of processes.
//!
//! There is no list of all hosts. A process starts with a few seeds and the members recorded
//! in the store, exchanges members with other processes in hello messages, and removes those
//! that have expired. Entries and agents therefore discover each other during an outage of the
//! store as well.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use rand::{Rng, RngExt, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::{Hello, Uptime};

/// Time since its last message during which a member is included in hello messages, in ms.
const RECENT_MS: u64 = 4_000;
/// Time since its last message or listing after which a member is removed, in ms.
///
/// Outages end within minutes.
const EXPIRY_MS: u64 = 120_000;
/// Maximum number of members in a hello message.
const MAX_HELLO_MEMBERS: usize = 24;
/// Number of members that are known at most.
const MAX_MEMBERS: usize = 8_192;
/// Maximum size of the name of an availability zone, in bytes.
const MAX_ZONE_BYTES: usize = 256;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Accepts jobs from callers.
    Entry,
    /// Runs next to an endpoint and starts tasks on it.
    Agent,
}

/// Address, role and availability zone of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Address that receives datagrams.
    pub address: SocketAddrV4,
    /// Role of the process.
    pub role: Role,
    /// Availability zone of the process.
    pub zone: String,
}

/// Members that this process has discovered.
#[derive(Debug)]
pub struct Members {
    own: Member,
    seeds: Vec<Ipv4Addr>,
    peers: BTreeMap<SocketAddrV4, Peer>,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    /// Time of the last message from the member, if any.
    received_at: Option<Uptime>,
    /// Time at which the store or another process last listed the member.
    listed_at: Uptime,
}

impl Members {
    /// Creates an empty set of members with the configured seeds.
    pub fn new(own: Member, seeds: Vec<Ipv4Addr>) -> Members {
        Members { own, seeds, peers: BTreeMap::new() }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// This process.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Members with a role.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|it| &it.member).filter(move |it| it.role == role)
    }

    /// Whether an address belongs to a member.
    pub fn contains(&self, address: SocketAddrV4) -> bool {
        self.peers.contains_key(&address)
    }

    /// Adds a member listed by the store or another process; returns whether it is new.
    ///
    /// If there are too many members, one that was never heard gives way.
    pub fn add(&mut self, now: Uptime, member: Member) -> bool {
        if member.address == self.own.address || member.zone.len() > MAX_ZONE_BYTES {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&member.address) {
            peer.listed_at = now;
            return false;
        }
        if self.peers.len() >= MAX_MEMBERS && !self.remove_unheard() {
            return false;
        }
        self.peers.insert(member.address, Peer { member, received_at: None, listed_at: now });
        true
    }

    /// Removes the member that was listed the longest ago of those that were never heard; returns
    /// whether there is one.
    fn remove_unheard(&mut self) -> bool {
        let unheard = self.peers.iter().filter(|(_, it)| it.received_at.is_none());
        let oldest = unheard.min_by_key(|(_, it)| it.listed_at).map(|(address, _)| *address);
        oldest.is_some_and(|address| self.peers.remove(&address).is_some())
    }

    /// Records that a message from a member arrived.
    pub fn mark_heard(&mut self, now: Uptime, address: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.received_at = Some(now);
        }
    }

    /// Handles a hello message and returns the new members.
    pub fn accept(&mut self, now: Uptime, hello: Hello) -> Vec<Member> {
        let Hello { from, members, .. } = hello;
        let address = from.address;
        let mut new = Vec::new();
        for member in members.into_iter().take(MAX_HELLO_MEMBERS).chain([from]) {
            if self.add(now, member.clone()) {
                new.push(member);
            }
        }
        self.mark_heard(now, address);
        new
    }

    /// Builds a hello message with a sample of the recently active members.
    pub fn hello(&self, now: Uptime, ask: bool, rng: &mut impl Rng) -> Hello {
        let recent = self.peers.values().filter(|it| it.is_recent(now));
        let members = recent.map(|it| it.member.clone()).sample(rng, MAX_HELLO_MEMBERS);
        Hello { from: self.own.clone(), members, ask }
    }

    /// Selects the receiver of the next hello message.
    ///
    /// It is a random recently active member. If there are fewer than three of these, and
    /// otherwise one time in four, it is any member or seed.
    pub fn choose_target(&self, now: Uptime, rng: &mut impl Rng) -> Option<SocketAddrV4> {
        let seeds = self.seeds.iter().map(|ip| SocketAddrV4::new(*ip, self.own.address.port()));
        let seeds: Vec<_> = seeds.filter(|it| *it != self.own.address).collect();
        let recent: Vec<_> = self
            .peers
            .values()
            .filter(|it| it.is_recent(now))
            .map(|it| it.member.address)
            .collect();
        let all = self.peers.keys().copied();
        if recent.len() < 3 || rng.random_ratio(1, 4) {
            return seeds.into_iter().chain(all).choose(rng);
        }
        recent.into_iter().choose(rng)
    }

    /// Removes members that have expired.
    pub fn remove_silent(&mut self, now: Uptime) {
        self.peers.retain(|_, it| {
            let last = it.received_at.unwrap_or_default().max(it.listed_at);
            now.since(last) < EXPIRY_MS
        });
    }
}

impl Peer {
    /// Whether a message from the member arrived recently.
    fn is_recent(&self, now: Uptime) -> bool {
        self.received_at.is_some_and(|at| now.since(at) < RECENT_MS)
    }
}
