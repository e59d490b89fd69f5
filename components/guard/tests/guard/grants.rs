//! Room that is shown to several entries.

use std::net::{Ipv4Addr, SocketAddrV4};

use guard::{Effect, Event};
use mesh::{Channel, Command, Datagram, EntryState, Notice, Report};

use crate::fixture::{CAPACITY, Fixture, key};

/// Longest time for which an unused grant may keep room from other entries, in ms.
const MAX_UNUSED_MS: u64 = 150;

/// An entry beside that of the fixture.
struct OtherEntry {
    address: SocketAddrV4,
    channel: Channel<Command, Notice>,
}

impl OtherEntry {
    fn new() -> OtherEntry {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 3), 7_000);
        OtherEntry { address, channel: Channel::new(33) }
    }

    /// Probes the agent; the report is delivered.
    fn probe(&mut self, fixture: &mut Fixture, waiting: u32) -> Report {
        let now = fixture.now;
        let state = EntryState { probe: true, waiting, heard: now };
        let event = Event::Frame { from: self.address, frame: self.channel.frame(now, state) };
        let sent = fixture.guard.handle(now, event).into_iter().find_map(|it| match it {
            Effect::Send { to, datagram: Datagram::Agent(frame) } if to == self.address => {
                Some(frame)
            }
            Effect::Send { .. } | Effect::Call { .. } | Effect::Finished => None,
        });
        let frame = sent.expect("a probe is answered");
        let report = frame.state.clone();
        self.channel.accept(now, frame);
        report
    }
}

#[test]
fn room_for_one_task_is_shown_to_one_of_two_entries() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], CAPACITY / 2);
    fixture.probe();

    let report = OtherEntry::new().probe(&mut fixture, 0);

    assert_eq!(fixture.report.cpu, CAPACITY / 2);
    assert!(report.cpu < CAPACITY / 2, "both are shown {}", report.cpu);
}

#[test]
fn room_of_an_entry_whose_report_is_lost_is_shown_to_others_in_time() {
    let mut fixture = Fixture::open();
    let mut other = OtherEntry::new();
    fixture.probe();
    assert!(other.probe(&mut fixture, 0).cpu < CAPACITY);

    fixture.advance(MAX_UNUSED_MS);

    assert_eq!(other.probe(&mut fixture, 0).cpu, CAPACITY);
}

// Guards against room for one task that is halved, and so of use to nobody, while jobs wait.
#[test]
fn an_entry_whose_jobs_wait_is_shown_unused_room_soon() {
    let mut fixture = Fixture::open();
    fixture.probe();
    fixture.now = fixture.now + 6;
    let mut other = OtherEntry::new();

    let waiting = other.probe(&mut fixture, 1).cpu;
    let calm = other.probe(&mut fixture, 0).cpu;

    assert_eq!(waiting, CAPACITY);
    assert!(calm < CAPACITY);
}

#[test]
fn an_order_without_a_grant_starts_if_there_is_room() {
    let mut fixture = Fixture::open();
    let mut other = OtherEntry::new();
    other.probe(&mut fixture, 0);

    fixture.order(vec![key(1)], CAPACITY);

    assert_eq!(fixture.started(), vec![key(1)]);
}
