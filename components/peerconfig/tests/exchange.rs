//! Tests of the exchange of configurations between entries.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use broker::{Config, Limits, Route};
use mesh::{ConfigPart, Uptime};
use peerconfig::{
    ANSWERS_PER_S, ConfigDecodeError, Decision, MAX_CONFIG_BYTES, MAX_PART_BYTES, Order,
    PARTS_PER_TICK, REQUEST_INTERVAL_MS, Received, Requester, Responder, SET_TIMEOUT_MS,
    STORE_SILENCE_MS, TooLarge, compare, decode_config, encode_config, split,
};

const START: Uptime = Uptime(50_000);

/// An entry without a configuration, and the entries that it knows.
struct Fixture {
    requester: Requester,
    config: Option<Config>,
    peers: Vec<Peer>,
    now: Uptime,
    /// Times and receivers of the requests.
    requests: Vec<(Uptime, SocketAddrV4)>,
}

struct Peer {
    responder: Responder,
    /// None for an older build, which ignores requests.
    config: Option<Config>,
    /// Changes or drops a part on its way.
    link: fn(ConfigPart) -> Option<ConfigPart>,
}

fn address(peer: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, peer as u8 + 1), 7_000)
}

fn config(offset: u64, version: u64, routes: usize) -> Config {
    let route = |number: usize| {
        Arc::new(Route {
            name: format!("queue-{number}-of-the-operator"),
            host: format!("host-{number}.callers.example"),
            prefix: format!("/queue/{number}/"),
            service: format!("service-{}", number % 7),
            priority: 1,
            attempts: 3,
            objective_factor: 1.6,
            target: 60,
        })
    };
    let mut config = Config {
        version,
        offset,
        routes: (0..routes).map(route).collect(),
        services: (0..7).map(|it| format!("service-{it}")).collect(),
        limits: Limits::default(),
    };
    config.sort();
    config
}

fn peer(config: Option<Config>) -> Peer {
    Peer { responder: Responder::default(), config, link: Some }
}

fn fixture(peers: impl IntoIterator<Item = Peer>) -> Fixture {
    let (requester, peers) = (Requester::default(), peers.into_iter().collect());
    Fixture { requester, config: None, peers, now: START, requests: Vec::new() }
}

impl Fixture {
    /// Advances time in ticks of 10 ms, with a store that does not answer.
    fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        let peers: Vec<_> = (0..self.peers.len()).map(address).collect();
        while self.now < end {
            self.now = self.now + 10;
            let current = self.config.as_ref();
            if let Some((to, known)) = self.requester.tick(self.now, &peers, current, 60_000) {
                self.requests.push((self.now, to));
                let peer = peers.iter().position(|it| *it == to).expect("a known entry");
                let peer = &mut self.peers[peer];
                peer.responder.on_request(self.now, address(99), known, peer.config.as_ref());
            }
            for (from, peer) in peers.iter().zip(&mut self.peers) {
                for part in peer.responder.tick().filter_map(|(_, part)| (peer.link)(part)) {
                    let current = self.config.as_ref();
                    let received = self.requester.on_part(self.now, *from, part, current);
                    if let Received::Complete(config) = received {
                        self.config = Some(*config);
                    }
                }
            }
        }
    }
}

#[test]
fn a_configuration_of_500_routes_fits_and_arrives_unchanged() {
    let sent = config(9, 3, 500);
    let mut fixture = fixture([peer(Some(sent.clone()))]);

    fixture.advance(SET_TIMEOUT_MS);

    let parts = split(&sent).expect("parts");
    println!("{} parts, {} bytes", parts.len(), encode_config(&sent).len());
    assert!(parts.len() > 1 && parts.iter().all(|it| it.bytes.len() <= MAX_PART_BYTES));
    assert_eq!(fixture.config, Some(sent));
}

#[test]
fn a_configuration_that_is_too_large_is_not_sent() {
    let large = config(9, 3, 5_000);
    let mut responder = Responder::default();

    let decision = responder.on_request(START, address(0), None, Some(&large));

    assert!(matches!(split(&large), Err(TooLarge { bytes }) if bytes > MAX_CONFIG_BYTES));
    assert_eq!((decision, responder.tick().count()), (Decision::TooLarge, 0));
}

#[test]
fn of_two_entries_with_different_versions_the_newer_configuration_is_taken_and_stays() {
    for offsets in [[70, 80], [80, 70]] {
        let peers = offsets.map(|offset| peer(Some(config(offset, offset / 10, 2))));
        let mut fixture = fixture(peers);

        fixture.advance(2 * REQUEST_INTERVAL_MS);
        assert_eq!(fixture.config.as_ref().map(|it| it.offset), Some(80));

        fixture.advance(2_000);
        assert_eq!(fixture.config.as_ref().map(|it| it.offset), Some(80));
    }
}

#[test]
fn an_older_build_that_never_answers_delays_the_others_by_one_interval() {
    let mut fixture = fixture([peer(None), peer(Some(config(9, 3, 2)))]);

    fixture.advance(REQUEST_INTERVAL_MS + 20);

    assert_eq!(fixture.config.map(|it| it.offset), Some(9));
}

#[test]
fn a_damaged_set_is_dropped_and_another_entry_is_asked() {
    let mut damaging = peer(Some(config(99, 9, 2)));
    damaging.link = |mut part| {
        part.bytes[20] ^= 1;
        Some(part)
    };
    let mut fixture = fixture([damaging, peer(Some(config(9, 3, 2)))]);

    fixture.advance(REQUEST_INTERVAL_MS + 20);

    assert_eq!(fixture.config.map(|it| it.offset), Some(9));
}

#[test]
fn an_incomplete_set_is_dropped_after_a_second() {
    let mut losing = peer(Some(config(9, 3, 500)));
    losing.link = |part| (part.index != 2).then_some(part);
    let mut fixture = fixture([losing]);
    fixture.advance(REQUEST_INTERVAL_MS);
    let parts = split(&config(9, 3, 500)).expect("parts");
    let others = [address(0)];

    // The part arrives after all, but too late.
    fixture.requester.tick(fixture.now + SET_TIMEOUT_MS, &others, None, 0);
    let late = fixture.now + SET_TIMEOUT_MS;
    let received = fixture.requester.on_part(late, address(0), parts[2].clone(), None);

    assert_eq!(received, Received::Incomplete);
}

#[test]
fn parts_of_different_configurations_are_not_mixed() {
    let mut requester = Requester::default();
    requester.tick(START, &[address(0)], None, 0);
    let [old, new] = [9, 10].map(|offset| split(&config(offset, 3, 500)).expect("parts"));
    let mut on_part = |part: &ConfigPart| requester.on_part(START, address(0), part.clone(), None);

    assert_eq!(on_part(&old[0]), Received::Incomplete);
    assert_eq!(on_part(&new[0]), Received::Incomplete);
    assert_eq!(on_part(&old[1]), Received::Ignored);
    let last = new[1..].iter().map(on_part).last();

    assert_eq!(last, Some(Received::Complete(Box::new(config(10, 3, 500)))));
}

#[test]
fn parts_that_were_not_asked_for_or_have_impossible_numbers_are_dropped() {
    let mut requester = Requester::default();
    let part = split(&config(9, 3, 2)).expect("parts").remove(0);

    let unasked = requester.on_part(START, address(0), part.clone(), None);
    requester.tick(START, &[address(0)], None, 0);
    let impossible = [(0, 0), (1, 1), (0, u16::MAX)].map(|(index, count)| {
        let part = ConfigPart { index, count, ..part.clone() };
        requester.on_part(START, address(0), part, None)
    });

    assert_eq!(unasked, Received::Ignored);
    assert_eq!(impossible, [Received::Damaged, Received::Damaged, Received::Damaged]);
}

#[test]
fn one_entry_at_a_time_is_asked_at_most_four_times_a_second() {
    let mut fixture = fixture((0..5).map(|_| peer(None)));

    fixture.advance(10_000);

    assert_eq!(fixture.requests.len(), 40);
    assert!(fixture.requests.windows(2).all(|it| it[1].0.since(it[0].0) >= REQUEST_INTERVAL_MS));
    let asked = |peer| fixture.requests.iter().filter(|(_, to)| *to == address(peer)).count();
    assert!((0..5).all(|peer| asked(peer) == 8));
}

#[test]
fn an_entry_answers_at_most_four_requests_a_second_and_spreads_the_parts() {
    // Guards against an entry with 0.12 of a core that is kept busy by 35 restarted ones.
    let current = config(9, 3, 500);
    let mut responder = Responder::default();
    let mut answers = 0;

    for tick in 0..500 {
        let from = address(tick as usize % 35);
        let decision = responder.on_request(START + tick * 10, from, None, Some(&current));
        answers += usize::from(decision == Decision::Answered);
        assert!(responder.tick().count() <= PARTS_PER_TICK);
    }

    assert_eq!(answers, 5 * ANSWERS_PER_S);
    let decision = responder.on_request(START + 6_000, address(0), Some(9), Some(&current));
    assert_eq!(decision, Decision::NothingNewer);
}

#[test]
fn only_an_entry_without_a_configuration_or_with_a_silent_store_asks() {
    let mut requester = Requester::default();
    let current = config(9, 3, 2);
    let mut asks = |at, silence, current: Option<&Config>| {
        requester.tick(START + at, &[address(0)], current, silence)
    };

    assert_eq!(asks(0, 0, None), Some((address(0), None)));
    assert_eq!(asks(1_000, STORE_SILENCE_MS - 1, Some(&current)), None);
    assert_eq!(asks(2_000, STORE_SILENCE_MS, Some(&current)), Some((address(0), Some(9))));
}

#[test]
fn a_version_that_falls_is_refused_and_not_asked_for_again() {
    let mut fixture = fixture([peer(Some(config(20, 2, 2)))]);
    fixture.config = Some(config(10, 3, 2));

    fixture.advance(3_000);

    assert_eq!(fixture.config.map(|it| it.offset), Some(10));
    let known = Some(20);
    let request = fixture.requester.tick(fixture.now + 500, &[address(0)], None, 0);
    assert_eq!(request, Some((address(0), known)));
}

#[test]
fn the_offset_orders_configurations_before_the_version() {
    let current = config(10, 3, 1);

    let order = |offset, version| compare(Some(&current), &config(offset, version, 1));

    assert_eq!(compare(None, &current), Order::Newer);
    assert_eq!([order(11, 3), order(11, 4)], [Order::Newer, Order::Newer]);
    assert_eq!([order(10, 4), order(9, 9)], [Order::NotNewer, Order::NotNewer]);
    assert_eq!(order(11, 2), Order::FallingVersion);
}

#[test]
fn any_changed_or_missing_byte_is_detected() {
    let encoded = encode_config(&config(9, 3, 2));

    for at in 0..encoded.len() {
        let mut changed = encoded.clone();
        changed[at] ^= 0x10;
        assert!(decode_config(&changed).is_err(), "byte {at}");
        assert!(decode_config(&encoded[..at]).is_err(), "the first {at} bytes");
    }
    let other_format: Vec<_> = [2].iter().chain(&encoded[1..]).copied().collect();
    assert_eq!(decode_config(&other_format), Err(ConfigDecodeError::Format(2)));
}
