//! Malformed datagrams are rejected or do no harm.

use mesh::{
    Channel, Command, Datagram, EndpointInfo, EntryState, Frame, Health, Hello, JobId, Member,
    Notice, Refusal, Report, Role, RunKey, StartOrder, Uptime, decode, encode,
};
use proptest::{
    prelude::{Just, any, prop_oneof},
    sample::Index,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Cases of each property, which bound its time.
const CASES: u32 = 2_000;

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]))
}

fn frame<I, S>(items: Vec<I>, state: S) -> Frame<I, S> {
    Frame { sender: 3, receiver: 9, first: 1, items, acknowledged: 0, state }
}

/// A datagram of each kind.
fn datagrams() -> [Datagram; 3] {
    let key = RunKey { job: JobId(1), step: 0, index: 0, run: 1 };
    let order = StartOrder {
        runs: vec![key],
        spec: "40".to_owned(),
        cpu: 100,
        memory: 1,
        gpus: 0,
        expected: 200,
        max_wait: 60,
        decided: Uptime(900),
    };
    let commands = vec![Command::Start(order), Command::Stop(vec![key])];
    let notices = vec![Notice::Refused { key, refusal: Refusal::Room }];
    let endpoint = Some(EndpointInfo { service: "desk".to_owned(), ..EndpointInfo::default() });
    let report = Report { endpoint, health: Health::Open, ..Report::default() };
    let address = "127.0.0.1:7000".parse().expect("an address");
    let from = Member { address, role: Role::Agent, zone: "z".to_owned() };
    [
        Datagram::Entry(frame(commands, EntryState::default())),
        Datagram::Agent(frame(notices, report)),
        Datagram::Hello(Hello { members: vec![from.clone()], from, ask: true }),
    ]
}

#[test]
fn a_damaged_datagram_is_rejected_or_decodes_to_one_that_can_be_encoded() {
    let changes = proptest::collection::vec((any::<Index>(), any::<u8>()), 1..5);
    runner()
        .run(&(any::<Index>(), changes, any::<Option<Index>>()), |(kind, changes, cut)| {
            let mut bytes = encode(kind.get(&datagrams()));
            for (index, byte) in changes {
                let at = index.index(bytes.len());
                bytes[at] = byte;
            }
            if let Some(cut) = cut {
                bytes.truncate(cut.index(bytes.len()));
            }
            if let Ok(datagram) = decode(&bytes) {
                assert_eq!(decode(&encode(&datagram)), Ok(datagram));
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn any_bytes_are_decoded_or_rejected() {
    runner()
        .run(&proptest::collection::vec(any::<u8>(), 0..300), |bytes| {
            let _ = decode(&bytes);
            Ok(())
        })
        .unwrap();
}

// Guards against numbers of items that overflow, and items delivered out of order for them.
#[test]
fn a_frame_with_any_numbers_delivers_only_the_items_that_are_next() {
    let number = || prop_oneof![any::<u64>(), Just(u64::MAX), Just(u64::MAX - 1), 0..4_u64];
    let frames = proptest::collection::vec((number(), number(), 0..4_usize), 1..6);
    runner()
        .run(&frames, |frames| {
            let mut channel = Channel::<u64, u64>::new(9);
            channel.push(1);
            let mut delivered = Vec::new();
            for (first, acknowledged, count) in frames {
                let items = (0..count as u64).map(|it| first.wrapping_add(it)).collect();
                let frame = Frame { first, acknowledged, ..frame(items, ()) };
                delivered.extend(channel.accept(Uptime(1), frame).items);
                channel.frame(Uptime(1), ());
            }
            assert!(delivered.iter().zip(1..).all(|(it, expected)| *it == expected));
            Ok(())
        })
        .unwrap();
}
