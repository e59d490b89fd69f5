//! The processes that a process knows.
//!
//! Nobody lists the hosts. A process starts with a few seeds and with what the store
//! remembers, tells some of the others what it knows, and forgets who has been silent for
//! long. Entries and agents therefore keep finding each other while the store is away.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use rand::{Rng, RngExt, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::{Hello, Uptime};

/// Time after which a silent member is no longer told to others, in ms.
const FRESH_MS: u64 = 4_000;
/// Time after which a silent member is forgotten, in ms; outages end within minutes.
const FORGET_MS: u64 = 120_000;
/// Members that a greeting names at most.
const MAX_TOLD: usize = 24;

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Takes callers' jobs.
    Entry,
    /// Stands beside an endpoint.
    Agent,
}

/// A process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Address for datagrams.
    pub address: SocketAddrV4,
    /// What it does.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
}

/// The members that a process knows.
#[derive(Debug)]
pub struct Members {
    own: Member,
    seeds: Vec<Ipv4Addr>,
    known: BTreeMap<SocketAddrV4, Known>,
}

#[derive(Debug)]
struct Known {
    member: Member,
    heard: Option<Uptime>,
    learnt: Uptime,
}

impl Members {
    /// Knows nobody but the hosts that were configured as seeds.
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

    /// Learns of a member from a third party; returns whether it was unknown.
    pub fn learn(&mut self, now: Uptime, member: Member) -> bool {
        if member.address == self.own.address {
            return false;
        }
        match self.known.get_mut(&member.address) {
            Some(known) => {
                known.learnt = now;
                false
            }
            None => {
                self.known.insert(member.address, Known { member, heard: None, learnt: now });
                true
            }
        }
    }

    /// Takes note of a sign of life of a member that is known.
    pub fn hear(&mut self, now: Uptime, address: SocketAddrV4) {
        if let Some(known) = self.known.get_mut(&address) {
            known.heard = Some(now);
        }
    }

    /// Takes a greeting in and returns the members that were unknown.
    pub fn accept(&mut self, now: Uptime, hello: Hello) -> Vec<Member> {
        let Hello { from, members, .. } = hello;
        let address = from.address;
        let mut new = Vec::new();
        for member in members.into_iter().chain([from]) {
            if self.learn(now, member.clone()) {
                new.push(member);
            }
        }
        self.hear(now, address);
        new
    }

    /// Greeting that names members that were alive lately.
    pub fn hello(&self, now: Uptime, ask: bool, rng: &mut impl Rng) -> Hello {
        let fresh = self.known.values().filter(|it| it.is_fresh(now));
        let members = fresh.map(|it| it.member.clone()).sample(rng, MAX_TOLD);
        Hello { from: self.own.clone(), members, ask }
    }

    /// Whom to greet next: a member at random, or a seed where few are known.
    pub fn pick(&self, now: Uptime, rng: &mut impl Rng) -> Option<SocketAddrV4> {
        let seeds = self.seeds.iter().map(|ip| SocketAddrV4::new(*ip, self.own.address.port()));
        let seeds: Vec<_> = seeds.filter(|it| *it != self.own.address).collect();
        let fresh: Vec<_> =
            self.known.values().filter(|it| it.is_fresh(now)).map(|it| it.member.address).collect();
        let known = self.known.keys().copied();
        if fresh.len() < 3 || rng.random_ratio(1, 4) {
            return seeds.into_iter().chain(known).choose(rng);
        }
        fresh.into_iter().choose(rng)
    }

    /// Forgets who has been silent for long.
    pub fn forget(&mut self, now: Uptime) {
        self.known.retain(|_, it| {
            let last = it.heard.unwrap_or_default().max(it.learnt);
            now.since(last) < FORGET_MS
        });
    }
}

impl Known {
    fn is_fresh(&self, now: Uptime) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < FRESH_MS)
    }
}
