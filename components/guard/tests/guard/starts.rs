//! Starts that are stale, rejected or not answered.

use guard::{Answer, CallKind, Event, Rejection, RunOutcome, SUSPENDED_MS, Snapshot};
use mesh::{Command, End, Notice, Refusal, RunKey};

use crate::fixture::{CAPACITY, Fixture, TOKEN, ended, is_start, is_stop, key, order, running};

#[test]
fn refuses_an_order_that_was_decided_long_ago() {
    let mut fixture = Fixture::open();
    let decided = fixture.now - 500;

    fixture.entry.push(Command::Start(order(vec![key(1)], 100, decided)));
    fixture.probe();

    assert_eq!(fixture.started(), vec![]);
    let refused = Notice::Refused { key: key(1), refusal: Refusal::Stale };
    assert_eq!(fixture.notices, vec![refused]);
}

#[test]
fn refuses_runs_queued_while_the_host_was_suspended() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1), key(2)], CAPACITY);

    fixture.now = fixture.now + SUSPENDED_MS;
    fixture.event(Event::Tick);
    fixture.probe();

    let refused = Notice::Refused { key: key(2), refusal: Refusal::Stale };
    assert_eq!(fixture.notices, vec![refused]);
}

// Guards against a start that is sent seconds after its order, when the task runs elsewhere.
#[test]
fn does_not_send_a_start_again_after_the_host_was_suspended() {
    let answers =
        [Answer::Unknown, Answer::Rejected(Rejection::Fence), Answer::Rejected(Rejection::Old)];
    for answer in answers {
        let mut fixture = Fixture::open();
        fixture.order(vec![key(1)], 100);

        fixture.now = fixture.now + SUSPENDED_MS;
        fixture.answer(is_start, answer.clone());

        assert_eq!(fixture.started(), vec![], "{answer:?}");
        assert_eq!(fixture.unanswered(is_stop).len(), 1, "{answer:?}");
    }
}

#[test]
fn sends_a_start_without_an_answer_again_under_the_same_number() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);

    fixture.answer(is_start, Answer::Unknown);

    assert_eq!(fixture.started(), vec![key(1)]);
    assert_eq!(fixture.unanswered(is_stop), vec![]);
}

#[test]
fn stops_a_run_whose_start_is_never_answered() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);

    for _ in 0..3 {
        fixture.answer(is_start, Answer::Unknown);
    }
    let clock = fixture.clock();
    fixture.answer(is_stop, Answer::Accepted { clock });
    fixture.answer_two_empty_polls();
    fixture.probe();

    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Lost, .. }]));
}

#[test]
fn numbers_a_run_after_those_of_earlier_submissions() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);

    fixture.answer(is_start, Answer::Rejected(Rejection::Old));

    assert_eq!(fixture.started(), vec![RunKey { run: 2, ..key(1) }]);
    fixture.accept_start();
    fixture.answer_poll(ended(1, &[(RunKey { run: 2, ..key(1) }, RunOutcome::Done)]));
    assert!(matches!(fixture.notices[..], [Notice::Ended { key: it, .. }] if it == key(1)));
}

// Guards against two runs with one number, of which the end of one is taken for that of the other.
#[test]
fn numbers_a_run_after_one_in_progress_though_the_number_of_an_earlier_one_has_expired() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Failed)]));
    fixture.advance_connected(14_000, &Snapshot::default());
    let second = RunKey { run: 2, ..key(1) };
    fixture.order(vec![second], 100);
    fixture.accept_start();
    for percent in 1..=20 {
        fixture.advance_connected(100, &running(&[(second, percent)]));
    }

    fixture.order(vec![key(1)], 100);

    assert_eq!(fixture.started(), vec![RunKey { run: 3, ..key(1) }]);
}

// Guards against two runs with one number, of which the end of one is taken for that of the other.
#[test]
fn numbers_a_run_that_is_rejected_as_old_after_a_later_one_in_progress() {
    let mut fixture = Fixture::open();
    let second = RunKey { run: 2, ..key(1) };
    fixture.order(vec![key(1)], 100);
    fixture.order(vec![second], 100);
    fixture.accept_start();
    assert_eq!(fixture.started(), vec![key(1)]);

    fixture.answer(is_start, Answer::Rejected(Rejection::Old));

    assert_eq!(fixture.started(), vec![RunKey { run: 3, ..key(1) }]);
}

#[test]
fn raises_its_fencing_token_above_a_higher_one() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);

    let first = fixture.answer(is_start, Answer::Rejected(Rejection::Fence));
    let second = fixture.accept_start();

    assert_eq!(first.fencing_token, TOKEN);
    assert!(second.fencing_token > TOKEN);
}

#[test]
fn gives_each_start_a_lease_that_expires_before_the_job_is_submitted_again() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);

    let call = fixture.accept_start();

    let CallKind::Start { lease, .. } = call.kind else { panic!("not a start") };
    assert!(lease <= fixture.clock() + guard::LEASE_MS);
}

#[test]
fn reports_a_run_that_is_neither_running_nor_ended_as_lost() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();
    fixture.answer_poll(running(&[(key(1), 1)]));
    fixture.answer_two_empty_polls();
    fixture.probe();

    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Lost, .. }]));
}

#[test]
fn sends_a_start_a_second_time_that_is_not_answered_soon() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);

    fixture.advance(30);

    assert_eq!(fixture.started(), vec![key(1), key(1)]);
    fixture.advance(30);
    assert_eq!(fixture.started().len(), 2);
}
