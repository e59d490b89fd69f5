//! Endpoints that announce their removal.

use guard::{Answer, Event, Heartbeat, HeartbeatState, Snapshot};
use mesh::{End, Health, Notice, RunKey};

use crate::fixture::{Fixture, heartbeat, is_stop, key, running};

/// An agent with two runs of an expected 200 ms, for 100 ms, at 30 and 60 percent.
fn fixture() -> Fixture {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1), key(2)], 100);
    fixture.accept_start();
    fixture.accept_start();
    fixture.advance_connected(100, &running(&[(key(1), 30), (key(2), 60)]));
    fixture
}

fn announce(fixture: &mut Fixture, time_remaining: Option<u64>) {
    let beat = heartbeat("i-1", HeartbeatState::Draining);
    fixture.event(Event::Heartbeat(Heartbeat { time_remaining, ..beat }));
}

/// Runs whose stop is not answered yet.
fn stopping(fixture: &Fixture) -> Vec<RunKey> {
    let keys = fixture.unanswered(is_stop).into_iter().map(|(_, call)| match call.kind {
        guard::CallKind::Stop { key } => key,
        other => panic!("{other:?}"),
    });
    keys.collect()
}

#[test]
fn the_runs_that_cannot_end_before_the_removal_are_stopped_and_reported_once_gone() {
    let mut fixture = fixture();

    announce(&mut fixture, Some(150));
    fixture.probe();

    assert_eq!(stopping(&fixture), vec![key(1)]);
    assert_eq!(fixture.guard.removal_counts(), (1, 1));
    assert_eq!((fixture.report.health, fixture.notices.len()), (Health::Closed, 0));
    let clock = fixture.clock();
    fixture.answer(is_stop, Answer::Accepted { clock });
    fixture.advance_connected(100, &running(&[(key(2), 90)]));
    assert!(
        matches!(fixture.notices[..], [Notice::Ended { key: it, end: End::Stopped, .. }] if it == key(1))
    );
}

// Guards against a run that is lost because it slows down after the notice.
#[test]
fn a_run_that_falls_behind_after_the_notice_is_stopped() {
    let mut fixture = fixture();
    announce(&mut fixture, Some(400));
    assert_eq!(stopping(&fixture), vec![]);

    fixture.advance_connected(100, &running(&[(key(1), 31), (key(2), 90)]));

    assert_eq!(stopping(&fixture), vec![key(1)]);
}

// Guards against runs that are lost because the notice waited while the host was suspended.
#[test]
fn a_notice_that_has_waited_leaves_less_time() {
    let mut fixture = fixture();
    let beat = heartbeat("i-1", HeartbeatState::Draining);
    let beat = Heartbeat { time_remaining: Some(400), cold_remaining: Some(200), ..beat };

    let late = beat.after(250);
    let cold_remaining = late.cold_remaining;
    fixture.event(Event::Heartbeat(late));

    assert_eq!(cold_remaining, Some(0));
    assert_eq!(stopping(&fixture), vec![key(1)]);
}

#[test]
fn a_second_notice_replaces_the_first() {
    let mut fixture = fixture();
    announce(&mut fixture, Some(150));
    assert_eq!(stopping(&fixture), vec![key(1)]);

    announce(&mut fixture, Some(900));
    announce(&mut fixture, Some(100));

    assert_eq!(stopping(&fixture), vec![key(1), key(2)]);
}

// Guards against work that is thrown away by a stop which takes effect no sooner than the end.
#[test]
fn a_run_that_ends_sooner_than_a_stop_is_left_alone_however_short_the_time() {
    let mut fixture = fixture();
    fixture.advance_connected(50, &running(&[(key(1), 40), (key(2), 80)]));

    announce(&mut fixture, Some(10));

    assert_eq!(stopping(&fixture), vec![key(1)]);
}

#[test]
fn a_draining_endpoint_that_names_no_time_keeps_its_runs() {
    let mut fixture = fixture();

    announce(&mut fixture, None);
    fixture.advance_connected(100, &running(&[(key(1), 60), (key(2), 90)]));

    assert_eq!(stopping(&fixture), vec![]);
}

// Guards against a notice that is not kept: the endpoint leaves at once, with unanswered stops.
#[test]
fn runs_are_lost_with_their_leases_if_the_endpoint_leaves_before_the_stop_is_answered() {
    let mut fixture = fixture();
    announce(&mut fixture, Some(150));
    fixture.event(Event::Left { instance: "i-1".to_owned() });

    fixture.advance(400);
    fixture.probe();
    assert_eq!(fixture.notices, vec![]);
    fixture.advance(200);
    fixture.probe();

    assert_eq!(fixture.notices.len(), 2);
}

// Guards against a cold endpoint that is filled at once, and against one that gets no work at all
// because its share is smaller than a task.
#[test]
fn a_cold_endpoint_takes_one_task_and_then_a_share_that_rises() {
    let mut fixture = Fixture::new();
    let cold_remaining = Some(10_000);
    let beat = heartbeat("i-1", HeartbeatState::Ready);
    fixture.event(Event::Heartbeat(Heartbeat { cold_remaining, ..beat }));
    fixture.answer_poll(Snapshot::default());
    fixture.probe();
    assert_eq!((fixture.report.health, fixture.report.cpu), (Health::Trial, 1_000));
    fixture.order(vec![key(1), key(2)], 400);
    assert_eq!(fixture.started().len(), 1);
    assert_eq!(fixture.report.cpu, 0);
    let first = fixture.started()[0];
    fixture.accept_start();
    let progress = (0..).map(|it| running(&[(first, it)])).take(100);

    let mut free = Vec::new();
    for snapshot in progress {
        fixture.advance_connected(100, &snapshot);
        free.push((fixture.report.health, fixture.report.cpu));
    }

    let (health, halfway) = free[49];
    assert!(health == Health::Open && (80..=100).contains(&halfway), "{halfway}");
    assert_eq!(free[99], (Health::Open, 600));
}
