//! When, and by which process, snapshots are due.

use std::time::Duration;

use ident::Timestamp;
use register::{Entry, Follower, Page, Record};
use uuid::Uuid;

const INTERVAL: Duration = Duration::from_secs(600);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1000)
}

fn page(first: u64, from: u64, entries: Vec<Entry>) -> Page {
    let end = from + entries.len() as u64;
    Page { from, first, next: end, end, entries, read_at: at(0) }
}

/// A process that has read one configuration at the time 0.
fn follower() -> Follower {
    let mut follower = Follower::new(at(0), INTERVAL);
    let text = "[[services]]\nname = \"yardbook\"\n".to_owned();
    let record = Record::Config { record: Uuid::nil(), base: 0, text };
    follower.on_page(&page(1, 1, vec![Entry { offset: 1, record: Some(record) }]), at(0));
    follower
}

/// Appends `record` to the log that `follower` reads.
fn append(follower: &mut Follower, record: Record, now: Timestamp) {
    let offset = follower.next_read();
    follower.on_page(&page(1, offset, vec![Entry { offset, record: Some(record) }]), now);
}

#[test]
fn a_new_process_appends_a_snapshot_after_a_quarter_of_the_interval() {
    let follower = follower();

    let due = [149, 150].map(|seconds| follower.snapshot_due(at(seconds), 0));

    assert_eq!(due, [false, true]);
}

#[test]
fn a_process_waits_for_the_one_ranked_before_it() {
    let follower = follower();

    let due = [150, 154, 155].map(|seconds| follower.snapshot_due(at(seconds), 1));

    assert_eq!(due, [false, false, true]);
}

#[test]
fn a_snapshot_of_another_process_restarts_the_interval() {
    let mut first = follower();
    let mut second = follower();
    let record = first.snapshot(Uuid::from_u128(1), at(150));

    append(&mut second, record, at(151));

    assert!(!second.snapshot_due(at(155), 1));
    assert!(!second.snapshot_due(at(750), 0));
    assert!(second.snapshot_due(at(751), 0));
}

#[test]
fn an_attempt_that_did_not_reach_the_log_is_retried_after_a_pause() {
    let mut follower = follower();
    follower.snapshot(Uuid::from_u128(1), at(150));

    let due = [159, 160].map(|seconds| follower.snapshot_due(at(seconds), 0));

    assert_eq!(due, [false, true]);
}

#[test]
fn a_snapshot_in_the_older_half_of_a_log_that_truncates_by_count_is_replaced_at_once() {
    let mut follower = follower();
    let record = follower.snapshot(Uuid::from_u128(1), at(150));
    append(&mut follower, record, at(151));
    let unknown = (3..=20).map(|offset| Entry { offset, record: None }).collect();

    follower.on_page(&page(2, 3, unknown), at(160));

    assert!(follower.snapshot_due(at(160), 0));
    assert!(!follower.snapshot_due(at(160), 1));
}

#[test]
fn a_process_without_a_state_appends_no_snapshot() {
    let mut follower = Follower::new(at(0), INTERVAL);
    follower.on_page(&page(1, 1, Vec::new()), at(0));

    let due = follower.snapshot_due(at(10_000), 0);

    assert!(!due);
}

#[test]
fn a_process_that_searches_appends_no_snapshot() {
    let mut follower = follower();
    follower.on_page(&page(9, 2, Vec::new()), at(1));

    let due = follower.snapshot_due(at(10_000), 0);

    assert!(follower.is_searching());
    assert!(!due);
}

#[test]
fn a_snapshot_from_before_the_start_is_treated_as_outdated() {
    let record = follower().snapshot(Uuid::from_u128(1), at(0));
    let mut late = Follower::new(at(0), INTERVAL);
    let entries =
        vec![Entry { offset: 1, record: None }, Entry { offset: 2, record: Some(record) }];

    late.on_page(&page(2, 1, entries), at(0));
    late.on_page(&page(2, 2, vec![Entry { offset: 2, record: None }]), at(0));

    assert!(late.snapshot_due(at(150), 0));
}
