//! Finds other processes through the store and through each other.

use std::{collections::HashSet, net::SocketAddrV4, time::Duration};

use mesh::{Datagram, Hello, Member, Members, Uptime};
use platform::{HostSettings, Newest, Store};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::sleep;

use crate::datagrams::Datagrams;

/// Topic with a record for each process that was started.
const TOPIC: &str = "hosts";
/// Time between two greetings while few members are known, in ms.
const EAGER_MS: u64 = 150;
/// Time between two greetings, in ms.
const CALM_MS: u64 = 700;
/// Time after the start of a process for which it is eager, in ms.
const EAGER_TIME_MS: u64 = 3_000;
/// Pause after the store has failed.
const PAUSE: Duration = Duration::from_millis(400);
/// Time to the second look at the members on record; each further one comes twice as late.
const EAGER_LOOK: Duration = Duration::from_millis(300);
/// Longest time between two looks at the members on record.
const CALM_LOOK: Duration = Duration::from_secs(10);
/// Records that cannot be decoded of which a process logs at most.
const MAX_COMPLAINTS: usize = 64;
/// Longest pause after the store has failed.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Keeps the members that a process knows.
pub(crate) struct Discovery {
    members: Members,
    rng: SmallRng,
    datagrams: Datagrams,
    started: Uptime,
    next: Uptime,
}

impl Discovery {
    /// Knows the seeds of the settings only.
    pub(crate) fn new(
        now: Uptime,
        own: Member,
        settings: &HostSettings,
        datagrams: Datagrams,
        seed: u64,
    ) -> Discovery {
        Discovery {
            members: Members::new(own, settings.seeds.clone()),
            rng: SmallRng::seed_from_u64(seed),
            datagrams,
            started: now,
            next: now,
        }
    }

    /// Takes new settings over.
    pub(crate) fn configure(&mut self, settings: &HostSettings) {
        self.members.set_seeds(settings.seeds.clone());
    }

    /// Answers a greeting; returns the members that were unknown.
    pub(crate) fn on_hello(&mut self, now: Uptime, hello: Hello) -> Vec<Member> {
        let (from, ask) = (hello.from.address, hello.ask);
        let new = self.members.accept(now, hello);
        if ask {
            let answer = self.members.hello(now, false, &mut self.rng);
            self.datagrams.send(from, &Datagram::Hello(answer));
        }
        new
    }

    /// Learns of members from the store, and greets those that were unknown and work with
    /// this process; returns all that were unknown.
    pub(crate) fn learn(&mut self, now: Uptime, members: Vec<Member>) -> Vec<Member> {
        let new: Vec<_> =
            members.into_iter().filter(|it| self.members.add(now, it.clone())).collect();
        let role = self.members.own().role;
        for member in new.iter().filter(|it| it.role != role) {
            let hello = self.members.hello(now, false, &mut self.rng);
            self.datagrams.send(member.address, &Datagram::Hello(hello));
        }
        new
    }

    /// Takes note of a sign of life.
    pub(crate) fn hear(&mut self, now: Uptime, address: SocketAddrV4) {
        self.members.mark_heard(now, address);
    }

    /// Greets somebody when it is time.
    pub(crate) fn tick(&mut self, now: Uptime) {
        if now < self.next {
            return;
        }
        self.members.remove_silent(now);
        let eager = now.since(self.started) < EAGER_TIME_MS;
        self.next = now + if eager { EAGER_MS } else { CALM_MS };
        if let Some(to) = self.members.choose_target(now, &mut self.rng) {
            let hello = self.members.hello(now, true, &mut self.rng);
            self.datagrams.send(to, &Datagram::Hello(hello));
        }
    }
}

/// Puts a process on record in the store, however often that takes.
pub(crate) async fn announce(store: Store, own: Member) {
    let value = match postcard::to_stdvec(&own) {
        Ok(value) => value,
        Err(err) => {
            log::error!(error:% = err; "the member cannot be encoded");
            return;
        }
    };
    let mut pause = PAUSE;
    while let Err(err) = store.append(TOPIC, &own.address.to_string(), &value).await {
        log::warn!(error:% = err; "the process cannot be put on record in the store");
        sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
    log::info!("the process is on record in the store");
}

/// Reads who is on record in the store, again and again, and passes it on to `tell`.
///
/// Does not wait for this process to be on record: the store may refuse writes and allow
/// reads. Ends when `tell` returns false.
pub(crate) async fn look_up(store: Store, mut tell: impl FnMut(Vec<Member>) -> bool) {
    let mut pause = EAGER_LOOK;
    let mut unreadable = HashSet::new();
    loop {
        match store.newest(TOPIC).await {
            Ok((records, _)) => {
                if !tell(decode(records, &mut unreadable)) {
                    return;
                }
                sleep(pause).await;
                pause = (pause * 2).min(CALM_LOOK);
            }
            Err(err) => {
                log::warn!(error:% = err; "the members on record in the store cannot be read");
                sleep(PAUSE).await;
            }
        }
    }
}

/// Members of which there are records; the others are logged once by key.
fn decode(records: Vec<Newest>, unreadable: &mut HashSet<String>) -> Vec<Member> {
    let mut members = Vec::new();
    for Newest { key, value, .. } in records {
        match postcard::from_bytes(&value) {
            Ok(member) => members.push(member),
            Err(err) => {
                if unreadable.len() < MAX_COMPLAINTS && unreadable.insert(key.clone()) {
                    log::warn!(key = key.as_str(), error:% = err; "a record of a member cannot be decoded");
                }
            }
        }
    }
    members
}
