//! Discovery of other processes, through the store and by gossip.
//!
//! Each process registers itself in the store and reads the other members from there. Members
//! also exchange hello messages, so they find each other while the store is unavailable.

use std::{collections::HashSet, net::SocketAddrV4, time::Duration};

use mesh::{Datagram, Hello, Member, Members, Role, Uptime};
use platform::{HostSettings, Record, Store};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::sleep;

use crate::datagrams::DatagramSocket;

/// Topic with a record of each process that was started, keyed by its address.
const TOPIC: &str = "hosts";
/// Interval between hello messages after the start, when few members have been discovered, in ms.
const STARTUP_HELLO_MS: u64 = 150;
/// Interval between hello messages afterwards, in ms.
const HELLO_MS: u64 = 700;
/// Time after the start during which [`STARTUP_HELLO_MS`] applies, in ms.
const STARTUP_MS: u64 = 3_000;
/// Delay before a call to the store is retried; doubles for each failed registration.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Delay before the members are read from the store a second time; doubles with each read.
pub(crate) const FIRST_READ_DELAY: Duration = Duration::from_millis(300);
/// Maximum interval between reads of the members from the store.
pub(crate) const MAX_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of undecodable records that a process logs.
const MAX_LOGGED_RECORDS: usize = 64;
/// Maximum delay before a registration in the store is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Members that a process has discovered, and its hello messages to them.
pub(crate) struct Discovery {
    members: Members,
    rng: SmallRng,
    datagrams: DatagramSocket,
    started: Uptime,
    next_hello: Uptime,
}

impl Discovery {
    /// Starts with the seeds of the settings and no other members.
    pub(crate) fn new(
        now: Uptime,
        own: Member,
        settings: &HostSettings,
        datagrams: DatagramSocket,
        seed: u64,
    ) -> Discovery {
        Discovery {
            members: Members::new(own, settings.seeds.clone()),
            rng: SmallRng::seed_from_u64(seed),
            datagrams,
            started: now,
            next_hello: now,
        }
    }

    /// Members that were discovered.
    pub(crate) fn members(&self) -> &Members {
        &self.members
    }

    /// Replaces the seeds by those of the new settings.
    pub(crate) fn update_settings(&mut self, settings: &HostSettings) {
        self.members.set_seeds(settings.seeds.clone());
    }

    /// Handles a hello message, with a reply if it asks for one; returns the new members.
    pub(crate) fn on_hello(&mut self, now: Uptime, hello: Hello) -> Vec<Member> {
        let (from, ask) = (hello.from.address, hello.ask);
        let new = self.members.accept(now, hello);
        if ask {
            let answer = self.members.hello(now, false, &mut self.rng);
            self.datagrams.send(from, &Datagram::Hello(answer));
        }
        new
    }

    /// Adds members from the store; returns the new ones.
    ///
    /// Sends a hello message to each new member of the other role.
    pub(crate) fn add_members(&mut self, now: Uptime, members: Vec<Member>) -> Vec<Member> {
        let new: Vec<_> =
            members.into_iter().filter(|it| self.members.add(now, it.clone())).collect();
        let role = self.members.own().role;
        for member in new.iter().filter(|it| it.role != role) {
            let hello = self.members.hello(now, false, &mut self.rng);
            self.datagrams.send(member.address, &Datagram::Hello(hello));
        }
        new
    }

    /// Addresses of the other entries.
    pub(crate) fn entries(&self) -> Vec<SocketAddrV4> {
        self.members.with_role(Role::Entry).map(|it| it.address).collect()
    }

    /// Records that a message from a member arrived.
    pub(crate) fn mark_heard(&mut self, now: Uptime, address: SocketAddrV4) {
        self.members.mark_heard(now, address);
    }

    /// Once per interval, removes expired members and sends a hello message to one member or seed.
    pub(crate) fn tick(&mut self, now: Uptime) {
        if now < self.next_hello {
            return;
        }
        self.members.remove_silent(now);
        let is_starting = now.since(self.started) < STARTUP_MS;
        self.next_hello = now + if is_starting { STARTUP_HELLO_MS } else { HELLO_MS };
        if let Some(to) = self.members.choose_target(now, &mut self.rng) {
            let hello = self.members.hello(now, true, &mut self.rng);
            self.datagrams.send(to, &Datagram::Hello(hello));
        }
    }
}

/// Registers a process in the store; retries until it succeeds.
pub(crate) async fn register_member(store: Store, own: Member) {
    let value = match postcard::to_stdvec(&own) {
        Ok(value) => value,
        Err(err) => {
            log::error!(error:% = err; "encoding the record of this process failed");
            return;
        }
    };
    let mut delay = RETRY_DELAY;
    while let Err(err) = store.append(TOPIC, &own.address.to_string(), &value).await {
        log::warn!(error:% = err; "registering the process in the store failed; retrying");
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
    log::info!("the process is registered in the store");
}

/// Reads the registered members from the store periodically and passes them to `sink`.
///
/// Does not wait until this process is registered, since the store may refuse writes and allow
/// reads. Ends when `sink` returns false.
pub(crate) async fn follow_members(store: Store, mut sink: impl FnMut(Vec<Member>) -> bool) {
    let mut delay = FIRST_READ_DELAY;
    let mut undecodable = HashSet::new();
    loop {
        match store.newest(TOPIC).await {
            Ok((records, _)) => {
                if !sink(decode_members(records, &mut undecodable)) {
                    return;
                }
                sleep(delay).await;
                delay = (delay * 2).min(MAX_READ_INTERVAL);
            }
            Err(err) => {
                log::warn!(error:% = err; "reading the members from the store failed; retrying");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Decodes the records of members; logs an undecodable record once per key.
fn decode_members(records: Vec<Record>, undecodable: &mut HashSet<String>) -> Vec<Member> {
    let mut members = Vec::new();
    for Record { key, value, .. } in records {
        match postcard::from_bytes(&value) {
            Ok(member) => members.push(member),
            Err(err) => {
                if undecodable.len() < MAX_LOGGED_RECORDS && undecodable.insert(key.clone()) {
                    log::warn!(key = key.as_str(), error:% = err; "a record of a member cannot be decoded");
                }
            }
        }
    }
    members
}
