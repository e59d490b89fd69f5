//! Admission, cancellation, expiry and export of ids.

use std::time::Duration;

use ident::{RequestId, Timestamp};
use ledger::{Admission, CancelResult, Entry, Ledger, Limits};
use verdict::{Answer, Outcome, Proof, Reason, Refusal, Verdict};

const START: Timestamp = Timestamp::from_millis(1_800_000_000_000);

const WINDOW: Duration = Duration::from_secs(600);

fn limits() -> Limits {
    Limits { window: WINDOW, max_answer_bytes: 1000, max_entries: 100 }
}

fn ledger() -> Ledger {
    Ledger::new(limits())
}

fn id(number: u8, created_at: Timestamp) -> RequestId {
    RequestId::new(created_at, [number; 10])
}

fn answer(bytes: usize) -> Outcome {
    Outcome::Done(Answer { status: 200, body: vec![7; bytes] })
}

fn overloaded() -> Refusal {
    Refusal::not_run(Proof::owner_never_started(), Reason::Overloaded, "The queue is full.")
}

fn admit(ledger: &mut Ledger, id: RequestId, attempt: u64) -> Admission {
    ledger.admit(id, attempt, START, START)
}

fn refusal_of(admission: Admission) -> Option<(Verdict, Reason)> {
    match admission {
        Admission::Refused(refusal) => Some((refusal.verdict(), refusal.reason)),
        Admission::Start | Admission::Attach | Admission::Repeat(_) => None,
    }
}

#[test]
fn starts_an_id_once_and_repeats_its_answer() {
    let mut ledger = ledger();
    let id = id(1, START);

    let first = admit(&mut ledger, id, 1);
    let second = admit(&mut ledger, id, 2);
    ledger.finish(id, answer(3), START);
    let third = admit(&mut ledger, id, 3);

    assert_eq!(first, Admission::Start);
    assert_eq!(second, Admission::Attach);
    assert_eq!(third, Admission::Repeat(answer(3)));
}

#[test]
fn a_refused_attempt_never_starts_but_another_one_may() {
    let mut ledger = ledger();
    let id = id(1, START);
    admit(&mut ledger, id, 1);

    ledger.refuse(id, 1, overloaded(), START);
    let copy = admit(&mut ledger, id, 1);
    let other = admit(&mut ledger, id, 2);

    assert_eq!(copy, Admission::Refused(overloaded()));
    assert_eq!(other, Admission::Start);
}

#[test]
fn no_refused_attempt_starts_however_many_there_were() {
    let mut ledger = ledger();
    let id = id(1, START);
    let submitted = |attempt: u64| START + Duration::from_millis(attempt);
    for attempt in 1..=20 {
        let admitted = ledger.admit(id, attempt, submitted(attempt), START);
        assert_eq!(admitted, Admission::Start);
        ledger.refuse(id, attempt, overloaded(), START);
    }

    for attempt in 1..=20 {
        let copy = ledger.admit(id, attempt, submitted(attempt), START);
        assert_eq!(copy, Admission::Refused(overloaded()));
    }
    let newer = ledger.admit(id, 21, submitted(21), START);

    assert_eq!(newer, Admission::Start);
}

#[test]
fn a_refusal_as_may_have_run_is_final() {
    let mut ledger = ledger();
    let id = id(1, START);
    admit(&mut ledger, id, 1);
    let lost = Refusal::may_have_run(Reason::ConnectionLost, "The connection was lost.");

    ledger.refuse(id, 1, lost.clone(), START);

    assert_eq!(admit(&mut ledger, id, 2), Admission::Repeat(Outcome::Refused(lost)));
}

#[test]
fn a_cancellation_that_arrives_before_the_submission_prevents_its_start() {
    let mut ledger = ledger();
    let id = id(1, START);

    let cancelled = ledger.cancel(id, START);
    let admitted = admit(&mut ledger, id, 1);

    assert_eq!(cancelled, CancelResult::NotStarted);
    assert_eq!(refusal_of(admitted), Some((Verdict::NotRun, Reason::Cancelled)));
}

#[test]
fn a_cancellation_reports_running_and_ended_ids() {
    let mut ledger = ledger();
    let (running, ended) = (id(1, START), id(2, START));
    admit(&mut ledger, running, 1);
    admit(&mut ledger, ended, 1);
    ledger.finish(ended, answer(3), START);

    assert_eq!(ledger.cancel(running, START), CancelResult::Running);
    assert_eq!(ledger.cancel(ended, START), CancelResult::Finished(answer(3)));
}

#[test]
fn an_id_older_than_the_window_never_starts() {
    let mut ledger = ledger();
    let id = id(1, START);
    admit(&mut ledger, id, 1);
    ledger.finish(id, answer(3), START);
    let later = START + WINDOW + Duration::from_secs(1);

    ledger.expire(later);
    let admitted = ledger.admit(id, 2, later, later);
    let after_the_clock_went_back = ledger.admit(id, 3, START, START);

    assert!(ledger.is_empty());
    assert_eq!(refusal_of(admitted), Some((Verdict::MayHaveRun, Reason::Expired)));
    assert_eq!(refusal_of(after_the_clock_went_back), Some((Verdict::MayHaveRun, Reason::Expired)));
}

#[test]
fn an_id_that_runs_longer_than_the_window_is_kept() {
    let mut ledger = ledger();
    let id = id(1, START);
    admit(&mut ledger, id, 1);
    let later = START + WINDOW * 2;

    ledger.expire(later);

    assert_eq!(ledger.get(id), Some(Entry::Running));
    assert_eq!(ledger.admit(id, 2, later, later), Admission::Attach);
}

#[test]
fn drops_the_oldest_answers_but_not_their_ids() {
    let mut ledger = ledger();
    for number in 0..5 {
        let id = id(number, START);
        admit(&mut ledger, id, 1);
        ledger.finish(id, answer(300), START);
    }

    let oldest = admit(&mut ledger, id(0, START), 2);
    let newest = admit(&mut ledger, id(4, START), 2);

    assert_eq!(ledger.len(), 5);
    assert_eq!(refusal_of(oldest), Some((Verdict::MayHaveRun, Reason::Expired)));
    assert_eq!(newest, Admission::Repeat(answer(300)));
}

#[test]
fn many_cancellations_stay_within_the_limits_and_let_no_old_id_start() {
    let mut ledger = ledger();
    let created_at = |number: u64| START + Duration::from_millis(number);
    let ids: Vec<_> = (0..5000).map(|it| id((it % 256) as u8, created_at(it))).collect();

    for id in &ids {
        ledger.cancel(*id, created_at(5000));
    }

    assert!(ledger.len() <= 100);
    for id in &ids {
        let admitted = ledger.admit(*id, 1, created_at(5000), created_at(5000));
        assert!(refusal_of(admitted).is_some());
    }
}

#[test]
fn a_full_ledger_of_running_ids_admits_no_other() {
    let mut ledger = ledger();
    for number in 0..100 {
        assert_eq!(admit(&mut ledger, id(number, START), 1), Admission::Start);
    }

    let one_more = admit(&mut ledger, id(200, START), 1);

    assert_eq!(refusal_of(one_more), Some((Verdict::MayHaveRun, Reason::Overloaded)));
    assert_eq!(admit(&mut ledger, id(0, START), 2), Admission::Attach);
}

#[test]
fn an_export_contains_answers_refusals_and_running_ids() {
    let mut ledger = ledger();
    let (done, refused, running) = (id(1, START), id(2, START), id(3, START));
    for id in [done, refused, running] {
        admit(&mut ledger, id, 1);
    }
    ledger.finish(done, answer(3), START);
    ledger.refuse(refused, 1, overloaded(), START);

    let mut next = Ledger::new(limits());
    next.import(ledger.export(|_| true));

    assert_eq!(admit(&mut next, done, 2), Admission::Repeat(answer(3)));
    assert_eq!(admit(&mut next, refused, 1), Admission::Refused(overloaded()));
    assert_eq!(admit(&mut next, running, 2), Admission::Attach);
}

#[test]
fn a_second_export_contains_the_outcomes_of_running_ids() {
    let mut ledger = ledger();
    let (done, refused) = (id(1, START), id(2, START));
    admit(&mut ledger, done, 1);
    admit(&mut ledger, refused, 1);
    let mut next = Ledger::new(limits());
    let first = ledger.export(|_| true);
    next.import(first.clone());
    ledger.finish(done, answer(3), START);
    ledger.refuse(refused, 1, overloaded(), START);

    let ended = next.import(ledger.export(|_| true));
    next.import(first);

    assert_eq!(ended, [refused, done]);
    assert_eq!(next.get(done), Some(Entry::Finished(answer(3))));
}

#[test]
fn an_export_leaves_out_unselected_ids() {
    let mut ledger = ledger();
    let (wanted, other) = (id(1, START), id(2, START));
    admit(&mut ledger, wanted, 1);
    admit(&mut ledger, other, 1);
    let mut next = Ledger::new(limits());

    next.import(ledger.export(|id| id == wanted));

    assert_eq!(next.get(wanted), Some(Entry::Running));
    assert_eq!(next.get(other), None);
}
