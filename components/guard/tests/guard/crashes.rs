//! Crashes of the endpoint are told from other reasons for its silence.

use guard::{Answer, Event, HeartbeatState, Rejection, Snapshot};

use mesh::{Channel, CrashState, Crashes, CrashesSeen, JobId};

use crate::fixture::{Fixture, entry_address, heartbeat, is_poll, key, running};

/// An agent whose endpoint has one run and does not answer.
fn silent() -> Fixture {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    fixture.answer_poll(running(&[(key(1), 10)]));
    fixture.fail_polls(200);
    fixture
}

#[test]
fn an_endpoint_that_another_instance_replaces_has_crashed() {
    let mut fixture = silent();
    assert_eq!(fixture.guard.crashes(), 0);

    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    fixture.answer_poll(Snapshot::default());

    assert_eq!(fixture.guard.crashes(), 1);
}

#[test]
fn an_endpoint_whose_address_another_instance_has_has_crashed() {
    let mut fixture = silent();

    fixture.advance(100);
    fixture.answer(is_poll, Answer::Rejected(Rejection::Instance));

    assert_eq!(fixture.guard.crashes(), 1);
}

#[test]
fn an_endpoint_that_answers_again_has_not_crashed() {
    let mut fixture = silent();

    fixture.advance(100);
    fixture.answer_poll(running(&[(key(1), 20)]));

    assert_eq!(fixture.guard.crashes(), 0);
}

#[test]
fn an_endpoint_that_has_left_has_not_crashed() {
    let mut fixture = silent();
    fixture.event(Event::Left { instance: "i-1".to_owned() });

    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    fixture.answer_poll(Snapshot::default());

    assert_eq!(fixture.guard.crashes(), 0);
}

#[test]
fn an_endpoint_that_was_draining_has_not_crashed() {
    let mut fixture = Fixture::open();
    fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Draining)));

    fixture.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    fixture.answer_poll(Snapshot::default());

    assert_eq!(fixture.guard.crashes(), 0);
}

/// States of the crashes in the reports so far, with the tasks' jobs.
fn reported(fixture: &Fixture) -> Vec<(CrashState, Vec<JobId>)> {
    let crashes = fixture.crashes.iter().flat_map(|it| &it.crashes);
    crashes.map(|it| (it.state, it.tasks.iter().map(|task| task.job).collect())).collect()
}

/// Confirms the newest report.
fn confirm(fixture: &mut Fixture) {
    let crashes = fixture.crashes.last().expect("a report of crashes");
    let Crashes { incarnation, session, revision, .. } = *crashes;
    let seen = CrashesSeen { incarnation, session, revision };
    fixture.event(Event::CrashesSeen { from: entry_address(), seen });
}

#[test]
fn a_silence_is_reported_as_a_suspected_crash_with_the_runs_that_were_there() {
    let fixture = silent();

    assert_eq!(reported(&fixture)[0], (CrashState::Suspected, vec![JobId(1)]));
}

// Guards against a crash that does not count because its run was being stopped by then.
#[test]
fn a_run_that_was_being_stopped_is_reported_with_the_crash() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    fixture.stop(vec![key(1)]);

    fixture.fail_polls(200);

    assert_eq!(reported(&fixture)[0], (CrashState::Suspected, vec![JobId(1)]));
}

#[test]
fn a_report_is_repeated_until_it_is_confirmed() {
    let mut fixture = silent();
    fixture.fail_polls(300);
    let sent = fixture.crashes.len();
    assert!(sent > 1);

    confirm(&mut fixture);
    fixture.fail_polls(300);

    assert_eq!(fixture.crashes.len(), sent);
}

#[test]
fn what_becomes_of_a_suspected_crash_is_reported() {
    let mut crashed = silent();
    confirm(&mut crashed);
    crashed.event(Event::Heartbeat(heartbeat("i-2", HeartbeatState::Ready)));
    crashed.answer_poll(Snapshot::default());
    let mut answering = silent();
    confirm(&mut answering);
    answering.advance(100);
    answering.answer_poll(running(&[(key(1), 20)]));

    assert_eq!(reported(&crashed).last(), Some(&(CrashState::Confirmed, vec![JobId(1)])));
    assert_eq!(reported(&answering).last(), Some(&(CrashState::Dismissed, vec![JobId(1)])));
}

// Guards against an entry that has restarted and learns nothing, as its earlier process had
// confirmed the crash or its confirmation arrives late.
#[test]
fn an_entry_that_has_restarted_gets_earlier_crashes_again() {
    let mut fixture = silent();
    confirm(&mut fixture);
    let sent = fixture.crashes.len();

    fixture.entry = Channel::new(10);
    fixture.probe();
    assert_eq!(fixture.crashes.len(), sent + 1);
    let Crashes { incarnation, revision, .. } = fixture.crashes[sent];
    let session = fixture.crashes[0].session;
    let seen = CrashesSeen { incarnation, session, revision };
    fixture.event(Event::CrashesSeen { from: entry_address(), seen });
    fixture.fail_polls(150);

    assert!(fixture.crashes.len() > sent + 1);
}

#[test]
fn an_endpoint_that_stays_away_is_not_taken_to_have_crashed() {
    let mut fixture = silent();
    confirm(&mut fixture);

    fixture.fail_polls(20_000);

    assert_eq!(reported(&fixture).last(), Some(&(CrashState::Dismissed, vec![JobId(1)])));
    assert_eq!(fixture.guard.crashes(), 0);
}
