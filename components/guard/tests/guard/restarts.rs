//! Endpoints that restart under their id.

use guard::{Answer, Call, CallKind, Event, HeartbeatState, LEASE_MS, RunOutcome, Snapshot};
use mesh::{End, Health, Notice};

use crate::fixture::{
    Fixture, TOKEN, born, ended, heartbeat, is_poll, is_start, is_stop, key, running,
};

/// An agent whose endpoint, born at 5, is ready for work.
fn fixture() -> Fixture {
    let mut fixture = Fixture::new();
    beat(&mut fixture, 5, 1, HeartbeatState::Ready);
    list(&mut fixture, 5, Snapshot::default());
    fixture.calls.clear();
    fixture
}

/// The same agent with one run, which the endpoint has listed.
fn fixture_with_run() -> Fixture {
    let mut fixture = fixture();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    for _ in 0..2 {
        fixture.now = fixture.now + 1;
        list(&mut fixture, 5, running(&[(key(1), 10)]));
    }
    fixture
}

fn beat(fixture: &mut Fixture, born: u64, sequence: u64, state: HeartbeatState) {
    let beat = heartbeat("i-1", state);
    let (instance, sequence) = (self::born("i-1", born), Some(sequence));
    fixture.event(Event::Heartbeat(guard::Heartbeat { instance, sequence, ..beat }));
}

/// Answers the newest poll with the list of the instance born at `born`, whose clock shows 10.
fn list(fixture: &mut Fixture, born: u64, snapshot: Snapshot) -> Call {
    let clock = if born == 5 { fixture.clock() } else { 10 };
    let snapshot = Snapshot { born: Some(born), clock, ..snapshot };
    fixture.answer(is_poll, Answer::Seen(snapshot))
}

fn lost(job: u64) -> impl Fn(&Notice) -> bool {
    move |it| matches!(it, Notice::Ended { key: of, end: End::Lost, .. } if *of == key(job))
}

fn starts(fixture: &mut Fixture, job: u64) -> bool {
    fixture.order(vec![key(job)], 100);
    fixture.started() == vec![key(job)]
}

#[test]
fn the_runs_of_an_endpoint_that_restarts_under_its_id_are_lost_at_once() {
    let mut fixture = fixture_with_run();

    beat(&mut fixture, 9, 1, HeartbeatState::Ready);
    let call = list(&mut fixture, 9, Snapshot::default());
    fixture.probe();

    assert!(call.fencing_token > TOKEN + 1);
    assert!(fixture.notices.iter().any(lost(1)));
    assert!(starts(&mut fixture, 2));
}

// Guards against a restart that goes unnoticed until the next heartbeat, and against work for an
// instance whose capacity and state are not known.
#[test]
fn a_list_of_runs_shows_a_restart_that_no_heartbeat_has_announced() {
    let mut fixture = fixture_with_run();

    let unfenced = list(&mut fixture, 9, Snapshot::default());
    let fenced = list(&mut fixture, 9, Snapshot::default());
    fixture.probe();
    assert!(fenced.fencing_token > unfenced.fencing_token);
    assert!(fixture.notices.iter().any(lost(1)));
    assert_eq!(fixture.report.health, Health::Closed);
    beat(&mut fixture, 9, 1, HeartbeatState::Ready);

    assert!(starts(&mut fixture, 2));
}

// Guards against ends that are skipped because their numbers start anew, and against leases by the
// clock of the earlier instance, which the present one cuts to its longest instead of to 500 ms.
#[test]
fn a_restarted_endpoint_has_ends_and_leases_of_its_own() {
    let mut fixture = fixture_with_run();
    list(&mut fixture, 5, ended(40, &[(key(1), RunOutcome::Done)]));
    beat(&mut fixture, 9, 1, HeartbeatState::Ready);
    list(&mut fixture, 9, Snapshot::default());

    assert!(starts(&mut fixture, 2));
    let (_, start) = fixture.unanswered(is_start).pop().expect("a start");
    fixture.answer(is_start, Answer::Accepted { clock: 10 });
    list(&mut fixture, 9, ended(1, &[(key(2), RunOutcome::Done)]));
    fixture.probe();

    assert!(matches!(start.kind, CallKind::Start { lease, .. } if lease == 10 + LEASE_MS));
    let done =
        |it: &Notice| matches!(it, Notice::Ended { key: of, end: End::Done, .. } if *of == key(2));
    assert!(fixture.notices.iter().any(done), "{:?}", fixture.notices);
}

// Guards against a second run elsewhere while the restarted endpoint carries out a call that was
// sent to the instance before.
#[test]
fn a_run_that_a_restarted_endpoint_lists_is_stopped_before_it_is_reported_as_lost() {
    let mut fixture = fixture_with_run();

    beat(&mut fixture, 9, 1, HeartbeatState::Ready);
    list(&mut fixture, 9, running(&[(key(1), 1)]));
    fixture.probe();
    assert!(!fixture.notices.iter().any(lost(1)));
    assert_eq!(fixture.unanswered(is_stop).len(), 1);
    fixture.answer(is_stop, Answer::Accepted { clock: 12 });
    for _ in 0..2 {
        fixture.advance(50);
        list(&mut fixture, 9, Snapshot::default());
    }
    fixture.probe();

    assert!(fixture.notices.iter().any(lost(1)));
    assert!(starts(&mut fixture, 2));
}

// Guards against a start that reaches a restarted endpoint unnoticed, which would run it for up to
// 1000 ms, while the agent reports it as lost after the 500 ms of its lease.
#[test]
fn a_start_that_no_list_confirms_is_lost_only_after_the_longest_lease() {
    let mut unconfirmed = fixture();
    unconfirmed.order(vec![key(1)], 100);
    unconfirmed.accept_start();
    let lost_after = |mut fixture: Fixture| {
        let begun = fixture.now;
        while !fixture.notices.iter().any(lost(1)) {
            if !fixture.unanswered(is_poll).is_empty() {
                fixture.answer(is_poll, Answer::Unknown);
            }
            fixture.advance(10);
            fixture.probe();
        }
        fixture.now.since(begun)
    };

    assert!(lost_after(unconfirmed) > 1_026);
    assert!(lost_after(fixture_with_run()) < 640);
}

#[test]
fn late_heartbeats_and_lists_of_an_earlier_instance_change_nothing() {
    let mut fixture = fixture_with_run();
    beat(&mut fixture, 9, 1, HeartbeatState::Ready);
    list(&mut fixture, 9, Snapshot::default());
    assert!(starts(&mut fixture, 2));
    fixture.answer(is_start, Answer::Accepted { clock: 10 });
    fixture.notices.clear();

    beat(&mut fixture, 5, 7, HeartbeatState::Draining);
    list(&mut fixture, 5, ended(50, &[(key(2), RunOutcome::Failed)]));
    fixture.probe();

    assert_eq!(fixture.notices, vec![]);
    assert_eq!(fixture.report.health, Health::Open);
}

// Guards against a start or stop, sent before the restart, that is taken for an answer about a run
// of the present instance.
#[test]
fn late_answers_of_an_earlier_instance_change_nothing() {
    let mut fixture = fixture();
    assert!(starts(&mut fixture, 1));
    let (late, _) = fixture.unanswered(is_start).pop().expect("a start");
    fixture.calls.retain(|(_, call)| !is_start(&call.kind));
    beat(&mut fixture, 9, 1, HeartbeatState::Ready);

    fixture.event(Event::Answered { id: late, answer: Answer::Accepted { clock: 90_000_000 } });
    list(&mut fixture, 9, Snapshot::default());
    fixture.probe();

    assert!(fixture.notices.iter().any(lost(1)));
    assert!(starts(&mut fixture, 2));
    let (_, start) = fixture.unanswered(is_start).pop().expect("a start");
    assert!(matches!(start.kind, CallKind::Start { lease, .. } if lease == 10 + LEASE_MS));
}

#[test]
fn a_heartbeat_out_of_order_changes_nothing_within_an_instance() {
    let mut fixture = fixture();
    beat(&mut fixture, 5, 3, HeartbeatState::Ready);

    beat(&mut fixture, 5, 2, HeartbeatState::Draining);
    assert!(starts(&mut fixture, 1));
    beat(&mut fixture, 5, 4, HeartbeatState::Draining);
    beat(&mut fixture, 5, 5, HeartbeatState::Ready);

    assert_eq!(fixture.report.health, Health::Open);
    fixture.probe();
    assert_eq!(fixture.report.health, Health::Closed);
}

#[test]
fn an_endpoint_that_drained_or_left_gets_work_after_it_restarts_under_its_id() {
    let left = || Event::Left { instance: "i-1".to_owned() };
    for leaves in [false, true] {
        let mut fixture = fixture();
        beat(&mut fixture, 5, 2, HeartbeatState::Draining);
        if leaves {
            fixture.event(left());
            fixture.advance(20);
        }
        beat(&mut fixture, 5, 3, HeartbeatState::Ready);
        fixture.probe();
        assert_eq!(fixture.report.health, Health::Closed);

        beat(&mut fixture, 9, 1, HeartbeatState::Ready);
        list(&mut fixture, 9, Snapshot::default());

        assert!(starts(&mut fixture, 1), "{leaves}");
    }
}

// Guards against an agent without memory that takes a heartbeat which was delayed from before a
// restart for that of the present instance.
#[test]
fn a_new_agent_uses_an_instance_only_once_a_list_and_a_heartbeat_name_it() {
    let mut fixture = Fixture::new();
    beat(&mut fixture, 5, 40, HeartbeatState::Ready);
    list(&mut fixture, 9, Snapshot::default());
    list(&mut fixture, 9, Snapshot::default());
    fixture.probe();
    assert_eq!(fixture.report.health, Health::Closed);

    beat(&mut fixture, 9, 1, HeartbeatState::Ready);
    assert!(starts(&mut fixture, 1));

    let mut fixture = Fixture::new();
    beat(&mut fixture, 9, 1, HeartbeatState::Ready);
    list(&mut fixture, 5, Snapshot::default());
    fixture.probe();
    assert_eq!(fixture.report.health, Health::Closed);
    fixture.advance(10);
    list(&mut fixture, 9, Snapshot::default());
    assert!(starts(&mut fixture, 1));
}

// Guards against a change for endpoints that announce no birth time, whose sequence numbers start
// anew unnoticed.
#[test]
fn instances_without_birth_time_are_told_apart_by_id_alone() {
    let mut fixture = Fixture::open();
    let beat = |state, sequence| {
        Event::Heartbeat(guard::Heartbeat { sequence: Some(sequence), ..heartbeat("i-1", state) })
    };
    fixture.event(beat(HeartbeatState::Ready, 9));
    fixture.order(vec![key(1)], 100);
    assert_eq!(fixture.started(), vec![key(1)]);

    fixture.event(beat(HeartbeatState::Draining, 1));
    fixture.event(beat(HeartbeatState::Ready, 2));
    fixture.probe();

    assert_eq!(fixture.report.health, Health::Closed);
    let (_, call) = fixture.unanswered(is_poll).pop().expect("a poll");
    assert_eq!(call.fencing_token, TOKEN);
}
