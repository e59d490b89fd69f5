//! Runs of entries that time out, receive no reports or restart, and offers to waiting entries.

use guard::{Answer, ENTRY_SILENCE_MS, Look};
use mesh::{Channel, End, Notice};

use crate::fixture::{Fixture, is_stop, key, running};

/// An agent with one run that its endpoint has confirmed.
fn with_run() -> Fixture {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    fixture.answer_hold(running(&[(key(1), 1)]));
    fixture
}

#[test]
fn stops_the_runs_of_an_entry_that_is_silent() {
    let mut fixture = with_run();

    fixture.pass(ENTRY_SILENCE_MS - 20);
    assert_eq!(fixture.waiting(is_stop), vec![]);
    fixture.pass(40);

    assert_eq!(fixture.waiting(is_stop).len(), 1);
}

#[test]
fn stops_the_runs_of_an_entry_that_does_not_hear_its_reports() {
    let mut fixture = with_run();
    let heard = fixture.report.now;

    for percent in 0..10 {
        fixture.pass(50);
        fixture.answer_hold(running(&[(key(1), percent * 5)]));
        fixture.frame(heard);
    }

    assert_eq!(fixture.waiting(is_stop).len(), 1);
}

#[test]
fn keeps_the_runs_of_an_entry_that_hears_its_reports() {
    let mut fixture = with_run();

    for percent in 0..20 {
        fixture.live(50, &running(&[(key(1), percent * 5)]));
    }

    assert_eq!(fixture.waiting(is_stop), vec![]);
}

#[test]
fn stops_the_runs_of_an_earlier_start_of_an_entry() {
    let mut fixture = with_run();

    fixture.entry = Channel::new(10);
    fixture.probe();

    assert_eq!(fixture.waiting(is_stop).len(), 1);
}

#[test]
fn stops_again_what_did_not_stop() {
    let mut fixture = with_run();
    fixture.stop(vec![key(1)]);

    fixture.answer(is_stop, Answer::Unknown);

    assert_eq!(fixture.waiting(is_stop).len(), 1);
}

#[test]
fn tells_how_a_stopped_run_ended_once_it_is_gone() {
    let mut fixture = with_run();
    fixture.stop(vec![key(1)]);
    let clock = fixture.clock();
    fixture.answer(is_stop, Answer::Accepted { clock });
    assert_eq!(fixture.notices, vec![]);

    fixture.pass(20);
    fixture.answer_hold(Look::default());
    fixture.pass(20);
    fixture.answer_hold(Look::default());
    fixture.probe();

    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Stopped, .. }]));
}

/// Sends a frame from the entry at 10.0.1.`last` with waiting work; returns the free cores that
/// the reports to it show, in thousandths.
fn waiting_entry(
    fixture: &mut Fixture,
    channel: &mut Channel<mesh::Command, Notice>,
    last: u8,
    waiting: u32,
) -> Vec<u32> {
    let from = std::net::SocketAddrV4::new(std::net::Ipv4Addr::new(10, 0, 1, last), 7_000);
    let state = mesh::EntryState { probe: true, waiting, heard: fixture.now };
    let frame = channel.frame(fixture.now, state);
    let mut told = Vec::new();
    for effect in fixture.guard.handle(fixture.now, guard::Event::Frame { from, frame }) {
        if let guard::Effect::Send { to, datagram: mesh::Datagram::Agent(frame) } = effect
            && to == from
        {
            told.push(frame.state.cpu);
            channel.accept(fixture.now, frame);
        }
    }
    told
}

#[test]
fn offers_room_to_one_of_several_entries_whose_jobs_wait() {
    let mut fixture = Fixture::open();
    let (mut first, mut second) = (Channel::new(21), Channel::new(22));
    for _ in 0..2 {
        waiting_entry(&mut fixture, &mut first, 1, 50);
        waiting_entry(&mut fixture, &mut second, 2, 50);
    }

    let told = [
        waiting_entry(&mut fixture, &mut first, 1, 50),
        waiting_entry(&mut fixture, &mut second, 2, 50),
    ];

    let offers = told.iter().filter(|it| it.iter().any(|cpu| *cpu > 0)).count();
    assert_eq!(offers, 1, "{told:?}");
}
