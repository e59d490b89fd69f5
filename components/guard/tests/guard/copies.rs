//! Several copies of one start, of which each answer says only what became of that copy.

use guard::{Answer, Rejection, RunOutcome, Snapshot};
use mesh::{End, Notice, Refusal};

use crate::fixture::{Fixture, ended, is_start, is_stop, key, running};

/// Answers that say that the endpoint did nothing.
const REJECTIONS: [Answer; 6] = [
    Answer::Rejected(Rejection::Unhealthy),
    Answer::Rejected(Rejection::Room),
    Answer::Rejected(Rejection::Late),
    Answer::Rejected(Rejection::Invalid),
    Answer::Rejected(Rejection::Old),
    Answer::Unsent,
];

/// Snapshot of a run that is in progress although its end is listed.
fn ended_and_running(outcome: RunOutcome) -> Snapshot {
    Snapshot { ended: ended(1, &[(key(1), outcome)]).ended, ..running(&[(key(1), 10)]) }
}

/// An agent whose run was confirmed by the second copy of its start, the first being unanswered.
fn fixture_with_unanswered_copy() -> Fixture {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.answer(is_start, Answer::Unknown);
    fixture.accept_start();
    fixture
}

/// Answers the stop in flight and two polls after it.
fn confirm_stop(fixture: &mut Fixture) {
    let clock = fixture.clock();
    fixture.answer(is_stop, Answer::Accepted { clock });
    fixture.answer_two_empty_polls();
    fixture.probe();
}

// Guards against a second run elsewhere while the first copy of a start has been carried out.
#[test]
fn a_run_with_an_unanswered_copy_is_stopped_and_not_refused_when_the_next_copy_is_rejected() {
    for rejection in REJECTIONS {
        let mut fixture = Fixture::open();
        fixture.order(vec![key(1)], 100);
        fixture.answer(is_start, Answer::Unknown);

        fixture.answer(is_start, rejection.clone());
        fixture.probe();

        assert_eq!(fixture.notices, vec![], "{rejection:?}");
        assert_eq!(fixture.started(), vec![], "{rejection:?}");
        confirm_stop(&mut fixture);
        let lost = matches!(fixture.notices[..], [Notice::Ended { end: End::Lost, .. }]);
        assert!(lost, "{rejection:?}: {:?}", fixture.notices);
    }
}

// Guards against a second run elsewhere while a hedged start is being carried out.
#[test]
fn a_run_goes_on_if_one_copy_of_its_start_is_rejected_and_another_accepted() {
    for rejection in REJECTIONS {
        let mut fixture = Fixture::open();
        fixture.order(vec![key(1)], 100);
        fixture.advance(20);

        fixture.answer(is_start, rejection.clone());
        assert_eq!(fixture.unanswered(is_stop), vec![], "{rejection:?}");
        fixture.accept_start();
        fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Done)]));
        fixture.probe();

        let done = matches!(fixture.notices[..], [Notice::Ended { end: End::Done, .. }]);
        assert!(done, "{rejection:?}: {:?}", fixture.notices);
    }
}

// Guards against a second run elsewhere while a hedged start may have been carried out.
#[test]
fn a_run_is_stopped_if_one_copy_of_its_start_is_rejected_and_another_never_answered() {
    for rejection in REJECTIONS {
        let mut fixture = Fixture::open();
        fixture.order(vec![key(1)], 100);
        fixture.advance(20);

        fixture.answer(is_start, rejection.clone());
        fixture.answer(is_start, Answer::Unknown);
        fixture.probe();

        assert_eq!(fixture.notices, vec![], "{rejection:?}");
        assert_eq!(fixture.unanswered(is_stop).len(), 1, "{rejection:?}");
    }
}

// Guards against a delay of tasks whose start was certainly rejected.
#[test]
fn a_run_is_refused_at_once_if_all_copies_of_its_start_are_rejected() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.advance(20);

    fixture.answer(is_start, Answer::Rejected(Rejection::Unhealthy));
    fixture.answer(is_start, Answer::Rejected(Rejection::Unhealthy));
    fixture.probe();

    let refused = Notice::Refused { key: key(1), refusal: Refusal::Endpoint };
    assert_eq!(fixture.notices, vec![refused]);
}

// Guards against a second start of a task that is done, when the start after it is rejected as old.
#[test]
fn the_end_of_a_run_is_reported_if_a_later_copy_of_its_start_is_rejected_as_old() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.answer(is_start, Answer::Unknown);

    fixture.answer(is_start, Answer::Rejected(Rejection::Old));
    assert_eq!(fixture.started(), vec![]);
    fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Done)]));
    fixture.probe();

    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Done, .. }]));
}

// Guards against a second run elsewhere while an endpoint lists an end of a run that goes on.
#[test]
fn a_run_that_is_listed_as_ended_and_as_in_progress_is_stopped_before_its_end_is_reported() {
    let outcomes = [
        (RunOutcome::Failed, End::Failed),
        (RunOutcome::Stopped, End::Stopped),
        (RunOutcome::Lapsed, End::Lost),
        (RunOutcome::Done, End::Done),
    ];
    for (outcome, expected) in outcomes {
        let mut fixture = Fixture::open();
        fixture.order(vec![key(1)], 100);
        fixture.accept_start();

        fixture.answer_poll(ended_and_running(outcome));
        fixture.probe();

        assert_eq!(fixture.notices, vec![], "{outcome:?}");
        confirm_stop(&mut fixture);
        let reported =
            matches!(fixture.notices[..], [Notice::Ended { end, .. }] if end == expected);
        assert!(reported, "{outcome:?}: {:?}", fixture.notices);
    }
}

// Guards against a second run elsewhere while another copy of a start than the failed one runs.
#[test]
fn a_failure_is_reported_after_a_stop_if_a_copy_of_the_start_was_not_answered() {
    let mut fixture = fixture_with_unanswered_copy();

    fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Failed)]));
    fixture.probe();

    assert_eq!(fixture.notices, vec![]);
    confirm_stop(&mut fixture);
    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Failed, .. }]));
}

// Guards against a second run elsewhere while one of two accepted copies of a start runs.
#[test]
fn a_failure_is_reported_after_a_stop_if_two_copies_of_the_start_were_accepted() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.advance(20);
    fixture.accept_start();
    fixture.accept_start();

    fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Failed)]));
    fixture.probe();

    assert_eq!(fixture.notices, vec![]);
    confirm_stop(&mut fixture);
    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Failed, .. }]));
}

// Guards against a delay of the failure of a run of which only one copy was sent.
#[test]
fn a_failure_is_reported_at_once_if_the_only_copy_of_the_start_is_in_flight() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);

    fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Failed)]));
    fixture.probe();

    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Failed, .. }]));
}

// Guards against a second run of a task that is done, when another copy of its start fails later.
#[test]
fn a_task_is_done_if_another_copy_of_its_run_is_listed_with_another_end_later() {
    for outcome in [RunOutcome::Failed, RunOutcome::Stopped, RunOutcome::Lapsed] {
        let mut fixture = fixture_with_unanswered_copy();
        fixture.answer_poll(ended_and_running(RunOutcome::Done));

        fixture.answer_poll(ended(2, &[(key(1), outcome)]));
        confirm_stop(&mut fixture);

        let done = matches!(fixture.notices[..], [Notice::Ended { end: End::Done, .. }]);
        assert!(done, "{outcome:?}: {:?}", fixture.notices);
    }
}

// Guards against a second run of a task of which one copy failed and another was completed.
#[test]
fn a_task_is_done_if_one_copy_of_its_run_failed_and_another_completed() {
    let mut fixture = fixture_with_unanswered_copy();
    fixture.answer_poll(ended(1, &[(key(1), RunOutcome::Failed)]));

    fixture.answer_poll(ended(2, &[(key(1), RunOutcome::Done)]));
    confirm_stop(&mut fixture);

    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Done, .. }]));
}

// Guards against a second run of a task whose failed and completed copies are listed together.
#[test]
fn a_task_is_done_if_its_run_is_listed_as_failed_and_as_done_in_one_snapshot() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);
    fixture.accept_start();

    let rows = [(key(1), RunOutcome::Failed), (key(1), RunOutcome::Done)];
    fixture.answer_poll(ended(1, &rows));
    fixture.probe();

    assert!(matches!(fixture.notices[..], [Notice::Ended { end: End::Done, .. }]));
}
