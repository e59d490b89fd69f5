//! Discovery of processes.
//!
//! There is no list of all hosts. A process starts with a few seeds and the members recorded
//! in the store, exchanges members with other processes, and removes those that have been
//! silent for long. Entries and agents therefore discover each other during an outage of the
//! store as well.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use rand::{Rng, RngExt, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::{Hello, Uptime};

/// Time after which a silent member is no longer included in greetings, in ms.
const RECENT_MS: u64 = 4_000;
/// Time after which a silent member is removed, in ms. Outages end within minutes.
const EXPIRY_MS: u64 = 120_000;
/// Maximum number of members in a greeting.
const MAX_HELLO_MEMBERS: usize = 24;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Accepts jobs from callers.
    Entry,
    /// Runs next to an endpoint and starts tasks on it.
    Agent,
}

/// A process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Address that receives datagrams.
    pub address: SocketAddrV4,
    /// Role.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
}

/// The processes known to this process.
#[derive(Debug)]
pub struct Members {
    own: Member,
    seeds: Vec<Ipv4Addr>,
    known: BTreeMap<SocketAddrV4, Peer>,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    heard_at: Option<Uptime>,
    named_at: Uptime,
}

impl Members {
    /// Creates an empty set of members with the configured seeds.
    pub fn new(own: Member, seeds: Vec<Ipv4Addr>) -> Members {
        Members { own, seeds, known: BTreeMap::new() }
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
        self.known.values().map(|it| &it.member).filter(move |it| it.role == role)
    }

    /// Whether an address belongs to a member.
    pub fn contains(&self, address: SocketAddrV4) -> bool {
        self.known.contains_key(&address)
    }

    /// Adds a member named by the store or another process; returns whether it was unknown.
    pub fn add(&mut self, now: Uptime, member: Member) -> bool {
        if member.address == self.own.address {
            return false;
        }
        match self.known.get_mut(&member.address) {
            Some(known) => {
                known.named_at = now;
                false
            }
            None => {
                self.known.insert(member.address, Peer { member, heard_at: None, named_at: now });
                true
            }
        }
    }

    /// Records that a known member was heard from.
    pub fn mark_heard(&mut self, now: Uptime, address: SocketAddrV4) {
        if let Some(known) = self.known.get_mut(&address) {
            known.heard_at = Some(now);
        }
    }

    /// Handles a greeting and returns the members that were unknown.
    pub fn accept(&mut self, now: Uptime, hello: Hello) -> Vec<Member> {
        let Hello { from, members, .. } = hello;
        let address = from.address;
        let mut new = Vec::new();
        for member in members.into_iter().chain([from]) {
            if self.add(now, member.clone()) {
                new.push(member);
            }
        }
        self.mark_heard(now, address);
        new
    }

    /// Builds a greeting that names members heard from recently.
    pub fn hello(&self, now: Uptime, ask: bool, rng: &mut impl Rng) -> Hello {
        let recent = self.known.values().filter(|it| it.is_recent(now));
        let members = recent.map(|it| it.member.clone()).sample(rng, MAX_HELLO_MEMBERS);
        Hello { from: self.own.clone(), members, ask }
    }

    /// Selects the address to greet next: a random member heard from recently or, if there
    /// are few of these and otherwise one time in four, any member or seed.
    pub fn choose_target(&self, now: Uptime, rng: &mut impl Rng) -> Option<SocketAddrV4> {
        let seeds = self.seeds.iter().map(|ip| SocketAddrV4::new(*ip, self.own.address.port()));
        let seeds: Vec<_> = seeds.filter(|it| *it != self.own.address).collect();
        let recent: Vec<_> = self
            .known
            .values()
            .filter(|it| it.is_recent(now))
            .map(|it| it.member.address)
            .collect();
        let known = self.known.keys().copied();
        if recent.len() < 3 || rng.random_ratio(1, 4) {
            return seeds.into_iter().chain(known).choose(rng);
        }
        recent.into_iter().choose(rng)
    }

    /// Removes members that have been silent for long.
    pub fn remove_silent(&mut self, now: Uptime) {
        self.known.retain(|_, it| {
            let last = it.heard_at.unwrap_or_default().max(it.named_at);
            now.since(last) < EXPIRY_MS
        });
    }
}

impl Peer {
    fn is_recent(&self, now: Uptime) -> bool {
        self.heard_at.is_some_and(|heard| now.since(heard) < RECENT_MS)
    }
}
