//! A few agents, a log and a network that loses, repeats and delays messages.
//!
//! Only [`Tenure`] and [`Ledger`] are real. Every id that was ever submitted may
//! reach any node at any time, so that nothing depends on careful routing.

#![allow(dead_code, reason = "each test uses its own part of the world")]

mod audit;
mod handle;
mod host;
mod log;
mod network;
pub mod schedule;

use std::{net::SocketAddr, time::Duration};

use ident::{Group, NodeId, RequestId, Shard, Timestamp};
use ledger::Entry;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use register::Assignment;
use tenure::Authority;

pub use self::{
    audit::Audit,
    host::Host,
    log::Log,
    network::{Message, Network},
};

/// Largest difference between two clocks.
pub const SKEW: Duration = Duration::from_millis(250);

/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(100);

/// Time between two ticks of a node while nothing of interest happens.
const SLOW_TICK: Duration = Duration::from_secs(1);

/// Random ids that are tried before a search for one is given up.
const MAX_TRIES: u32 = 100_000;

/// Real time at which a world begins.
const EPOCH: Timestamp = Timestamp::from_millis(1_800_000_000_000);

/// A mechanism that is switched off, to show that the checks find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// Everything works.
    Nothing,
    /// Owners decide beyond their horizon.
    Horizon,
    /// Owners decide for ids made before their tenure.
    LowerFence,
    /// A restarted node takes itself for its earlier start.
    Incarnation,
    /// A restarted node trusts tables that were read before its start.
    ReadAfterStart,
    /// Promises count though they rest on a newer table.
    PromiseOffset,
    /// Deputies take over though the owner may not know that they are deputies.
    Arming,
    /// Refusals are told, but not remembered.
    Refusal,
    /// The ledger is lost in a hand-over.
    HandOver,
    /// Cancellations are told, but not remembered.
    Cancellation,
}

/// The simulated system.
pub struct World {
    pub now: Timestamp,
    pub hosts: Vec<Host>,
    pub log: Log,
    pub network: Network,
    pub audit: Audit,
    pub broken: Broken,
    pub ids: Vec<RequestId>,
    pub rng: SmallRng,
    /// Time that each append is on its way, besides that of any message.
    pub append_delay: Duration,
    tick: Duration,
    next_tick: Timestamp,
}

/// Group of all agents.
pub fn group() -> Group {
    Group::Service("elig-desk".to_owned())
}

/// Address of the agent with the given position.
pub fn node(index: usize) -> NodeId {
    let last = u8::try_from(index + 1).expect("there are few agents");
    NodeId(SocketAddr::from(([10, 0, 0, last], 7000)))
}

impl World {
    /// Starts agents that find an empty log.
    pub fn empty(count: usize, seed: u64, broken: Broken) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = (0..count).map(|index| Host::new(index, &mut rng)).collect();
        let mut world = World {
            now: EPOCH,
            hosts,
            log: Log::new(),
            network: Network::new(),
            audit: Audit::default(),
            broken,
            ids: Vec::new(),
            rng,
            append_delay: Duration::ZERO,
            tick: TICK,
            next_tick: EPOCH,
        };
        for index in 0..count {
            world.start(index);
        }
        world
    }

    /// Starts agents that own all shards, each with a deputy.
    pub fn assigned(count: usize, seed: u64, broken: Broken) -> World {
        let mut world = World::empty(count, seed, broken);
        for index in 0..count {
            world.kill(index);
            world.start_since(index, Duration::from_secs(10));
        }
        world.log.assign_all(count, EPOCH);
        world.advance(Duration::from_millis(400));
        world
    }

    /// Lets time pass.
    pub fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        loop {
            let next = self.network.next_time().map_or(self.next_tick, |it| it.min(self.next_tick));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if self.next_tick <= self.now {
                self.next_tick = self.now + self.tick;
                self.tick_hosts();
            }
            while let Some((to, message)) = self.network.pop(self.now) {
                self.deliver(to, message);
            }
        }
        self.now = end;
    }

    /// Lets much time pass, with fewer ticks.
    pub fn advance_slowly(&mut self, by: Duration) {
        self.tick = SLOW_TICK;
        self.advance(by);
        self.tick = TICK;
    }

    /// Makes an id whose time lies `age` before the present.
    pub fn make_id(&mut self, age: Duration) -> RequestId {
        let ahead = Duration::from_micros(self.rng.random_range(0..=SKEW.as_micros() as u64));
        let created_at = self.now + ahead - SKEW / 2 - age;
        let id = RequestId::new(created_at, self.rng.random());
        self.ids.push(id);
        id
    }

    /// Makes an id that was made just now in a shard that `wanted` selects.
    pub fn make_id_in(&mut self, wanted: impl Fn(Shard, &Assignment) -> bool) -> RequestId {
        for _ in 0..MAX_TRIES {
            let id = RequestId::new(self.now, self.rng.random());
            let shard = Shard::of(id);
            if self.log.table().get(&group(), shard).is_some_and(|it| wanted(shard, it)) {
                self.ids.push(id);
                return id;
            }
        }
        panic!("no shard is like that");
    }

    /// Hosts whose nodes decide for the id at present.
    pub fn deciders(&self, id: RequestId) -> Vec<usize> {
        let hosts = self.hosts.iter().filter(|host| !host.is_paused).map(|host| host.index);
        hosts.filter(|host| self.authority(*host, id) == Some(Authority::Owner)).collect()
    }

    /// What the ledger of a host knows of the id.
    pub fn entry(&self, host: usize, id: RequestId) -> Option<Entry> {
        self.hosts[host].process.as_ref()?.ledger.get(id)
    }

    /// Submits an id to one host and waits until it has ended there.
    pub fn submit(&mut self, host: usize, id: RequestId) {
        let message = Message::Run { id, attempt: self.rng.random(), submitted: self.now };
        self.network.send(host, message, self.now, &mut self.rng);
        self.advance(Duration::from_secs(2));
    }
}
