//! Simulation of agents, a log, and a network that loses, duplicates and delays messages.
//!
//! Only `Tenure` and `Ledger` are the real implementations. Any submitted id may reach
//! any node at any time, so that no check depends on correct routing.

#![allow(dead_code, reason = "each test uses a part of the simulation")]

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

/// Time between two ticks of a node during long waits.
const SLOW_TICK: Duration = Duration::from_secs(1);

/// Random ids to try in the search for one that matches.
const MAX_TRIES: u32 = 100_000;

/// Wall-clock time at which a simulation starts.
const EPOCH: Timestamp = Timestamp::from_millis(1_800_000_000_000);

/// Deliberate defect in a node, to show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    None,
    /// Owners decide beyond their horizon.
    IgnoredHorizon,
    /// Owners decide for ids created before their tenure.
    IgnoredFence,
    /// A restarted node uses the incarnation of its first start.
    ReusedIncarnation,
    /// A restarted node trusts tables that were read before its start.
    ReadBeforeStart,
    /// Promises count although they are based on a newer table.
    IgnoredOffset,
    /// Deputies take over although the owner may not know of their appointment.
    UnknownDeputy,
    /// Refusals are reported to callers, but not recorded.
    LostRefusal,
    /// The ledger is lost during a hand-over.
    LostHandOver,
    /// Cancellations are reported to callers, but not recorded.
    LostCancellation,
}

/// The simulated system.
pub struct World {
    pub now: Timestamp,
    pub hosts: Vec<Host>,
    pub log: Log,
    pub network: Network,
    pub audit: Audit,
    pub defect: Defect,
    /// All ids that were created, in the order of creation.
    pub ids: Vec<RequestId>,
    pub rng: SmallRng,
    /// Delay of each append, added to that of any message.
    pub append_delay: Duration,
    /// Time between two ticks of a node.
    tick: Duration,
    next_tick: Timestamp,
}

/// Group of all agents.
pub fn group() -> Group {
    Group::Service("elig-desk".to_owned())
}

/// Address of the agent with the given position.
pub fn node(index: usize) -> NodeId {
    let last = u8::try_from(index + 1).expect("too many agents for an IPv4 octet");
    NodeId(SocketAddr::from(([10, 0, 0, last], 7000)))
}

impl World {
    /// Starts agents with an empty log.
    pub fn empty(count: usize, seed: u64, defect: Defect) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = (0..count).map(|index| Host::new(index, &mut rng)).collect();
        let mut world = World {
            now: EPOCH,
            hosts,
            log: Log::new(),
            network: Network::new(),
            audit: Audit::default(),
            defect,
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

    /// Starts agents that own all shards, each shard with a deputy.
    pub fn assigned(count: usize, seed: u64, defect: Defect) -> World {
        let mut world = World::empty(count, seed, defect);
        for index in 0..count {
            world.kill(index);
            world.start_since(index, Duration::from_secs(10));
        }
        world.log.assign_all(count, EPOCH);
        world.advance(Duration::from_millis(400));
        world
    }

    /// Advances the clock, ticks the hosts and delivers messages.
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

    /// Advances the clock with fewer ticks, for long waits.
    pub fn advance_slowly(&mut self, by: Duration) {
        self.tick = SLOW_TICK;
        self.advance(by);
        self.tick = TICK;
    }

    /// Creates an id of the given age, by the clock of a caller within the skew.
    pub fn make_id(&mut self, age: Duration) -> RequestId {
        let ahead = Duration::from_micros(self.rng.random_range(0..=SKEW.as_micros() as u64));
        let created_at = self.now + ahead - SKEW / 2 - age;
        let id = RequestId::new(created_at, self.rng.random());
        self.ids.push(id);
        id
    }

    /// Creates an id with the present time, in a shard that `wanted` selects.
    pub fn make_id_in(&mut self, wanted: impl Fn(Shard, &Assignment) -> bool) -> RequestId {
        for _ in 0..MAX_TRIES {
            let id = RequestId::new(self.now, self.rng.random());
            let shard = Shard::of(id);
            if self.log.table().get(&group(), shard).is_some_and(|it| wanted(shard, it)) {
                self.ids.push(id);
                return id;
            }
        }
        panic!("no id found in a matching shard");
    }

    /// Hosts whose nodes currently decide for the id; paused ones are left out.
    pub fn deciders(&self, id: RequestId) -> Vec<usize> {
        let hosts = self.hosts.iter().filter(|host| !host.is_paused).map(|host| host.index);
        hosts.filter(|host| self.authority(*host, id) == Some(Authority::Owner)).collect()
    }

    /// State of the id in the ledger of a host.
    pub fn entry(&self, host: usize, id: RequestId) -> Option<Entry> {
        self.hosts[host].process.as_ref()?.ledger.get(id)
    }

    /// Submits an id to one host and waits for long enough that it has ended there.
    pub fn submit(&mut self, host: usize, id: RequestId) {
        let message = Message::Run { id, attempt: self.rng.random(), submitted: self.now };
        self.network.send(host, message, self.now, &mut self.rng);
        self.advance(Duration::from_secs(2));
    }
}
