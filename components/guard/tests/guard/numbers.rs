//! Numbers at the ends of their ranges, which overflowed and ended a build with overflow checks.

use guard::{Answer, CallKind, Event, Rejection, Snapshot};
use mesh::{Channel, Command, EntryState, Notice, Refusal, RunKey};

use crate::fixture::{Fixture, entry_address, is_start, key};

#[test]
fn raises_its_fencing_token_up_to_the_largest_one() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);

    for _ in 0..70 {
        fixture.answer(is_start, Answer::Rejected(Rejection::Fence));
    }

    let (_, start) = fixture.unanswered(is_start).remove(0);
    assert_eq!(start.fencing_token, u64::MAX);
}

#[test]
fn grants_no_lease_beyond_the_range_of_the_clock() {
    let mut fixture = Fixture::open();
    fixture.answer_poll(Snapshot::default());
    fixture.order(vec![key(1)], 100);
    fixture.answer(is_start, Answer::Accepted { clock: u64::MAX });
    fixture.order(vec![key(2)], 100);
    fixture.advance(30);

    let (_, start) = fixture.unanswered(is_start).remove(0);
    assert!(matches!(start.kind, CallKind::Start { lease: u64::MAX, .. }));
}

#[test]
fn refuses_a_run_whose_number_leaves_none_for_later_runs() {
    let mut fixture = Fixture::open();
    let run = RunKey { run: u32::MAX, ..key(1) };

    fixture.order(vec![run], 100);
    fixture.probe();

    assert_eq!(fixture.started(), vec![]);
    assert_eq!(fixture.notices, vec![Notice::Refused { key: run, refusal: Refusal::Endpoint }]);
}

#[test]
fn reports_to_entries_that_have_as_much_work_waiting_as_can_be_told() {
    let mut fixture = Fixture::open();
    let mut second = Channel::<Command, Notice>::new(10);
    let state = EntryState { probe: true, waiting: u32::MAX, heard: fixture.now };
    let mut address = entry_address();
    address.set_port(7_001);

    let frame = fixture.entry.frame(fixture.now, state);
    fixture.event(Event::Frame { from: entry_address(), frame });
    let frame = second.frame(fixture.now, state);
    fixture.event(Event::Frame { from: address, frame });
    fixture.now = fixture.now + 10;
    let frame = fixture.entry.frame(fixture.now, state);
    fixture.event(Event::Frame { from: entry_address(), frame });

    assert!(fixture.report.waiting >= u32::MAX - 1);
}
