//! Following a log that truncates old records.

use std::time::Duration;

use ident::{Group, NodeId, Shard, Timestamp};
use register::{Applied, Assignment, Change, Entry, Follower, Page, Record, State, VoidReason};
use uuid::Uuid;

const INTERVAL: Duration = Duration::from_secs(600);

/// A log whose reads return all records up to its end.
#[derive(Default)]
struct Log {
    records: Vec<Option<Record>>,
    truncated: u64,
}

impl Log {
    fn append(&mut self, record: Record) -> u64 {
        self.records.push(Some(record));
        self.records.len() as u64
    }

    fn page(&self, from: u64, read_at: Timestamp) -> Page {
        let end = self.records.len() as u64 + 1;
        let first = self.truncated + 1;
        let entries = (from.max(first)..end)
            .map(|offset| Entry { offset, record: self.records[offset as usize - 1].clone() })
            .collect();
        Page { from, first, next: end, end, entries, read_at }
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1000)
}

fn config(base: u64) -> Record {
    let text = format!("# from {base}\n[[services]]\nname = \"yardbook\"\n");
    Record::Config { record: Uuid::nil(), base, text }
}

fn assign(epoch: u64) -> Record {
    let node = NodeId("127.0.0.1:7000".parse().unwrap());
    let assignment =
        Assignment { epoch, owner: node, deputy: None, from: at(epoch), grace: at(epoch) };
    let shards = vec![(Shard::from_index(3).unwrap(), assignment)];
    Record::Assign { record: Uuid::nil(), by: node, group: Group::Workers, shards }
}

fn snapshot(state: &State) -> Record {
    Record::Snapshot { record: Uuid::nil(), state: Box::new(state.clone()) }
}

fn follower() -> Follower {
    Follower::new(at(0), INTERVAL)
}

/// Reads to the end of the log; returns the changes.
fn read(follower: &mut Follower, log: &Log, now: Timestamp) -> Vec<Change> {
    let mut changes = Vec::new();
    while follower.next_read() <= log.records.len() as u64 {
        let page = log.page(follower.next_read(), now);
        changes.extend(follower.on_page(&page, now));
    }
    let page = log.page(follower.next_read(), now);
    changes.extend(follower.on_page(&page, now));
    changes
}

/// A log of two configurations and an assignment, and the state after them.
fn log() -> (Log, State) {
    let mut log = Log::default();
    log.append(config(0));
    log.append(assign(1));
    log.append(config(1));
    let mut follower = follower();
    read(&mut follower, &log, at(1));
    (log, State::clone(follower.state()))
}

#[test]
fn a_record_of_unknown_type_changes_nothing() {
    let mut log = Log::default();
    log.append(config(0));
    log.records.push(None);
    log.append(config(1));
    let mut follower = follower();

    let changes = read(&mut follower, &log, at(1));

    assert_eq!(changes.len(), 2);
    assert_eq!(follower.state().version(), 3);
    assert_eq!(follower.next_read(), 4);
}

#[test]
fn a_late_reader_of_a_truncated_log_waits_for_a_snapshot() {
    let (mut log, _) = log();
    log.truncated = 1;
    let mut follower = follower();

    let changes = read(&mut follower, &log, at(1));

    assert!(changes.is_empty());
    assert!(follower.is_searching());
    assert!(follower.state().is_empty());
    assert_eq!(follower.read_at(), Timestamp::ZERO);
}

#[test]
fn records_between_a_snapshot_and_the_offset_that_it_holds_are_not_lost() {
    let (mut log, state) = log();
    log.append(assign(2));
    log.append(config(3));
    log.append(snapshot(&state));
    log.append(config(5));
    log.truncated = 3;
    let mut follower = follower();

    let changes = read(&mut follower, &log, at(1));

    let applied: Vec<_> = changes.iter().map(|it| (it.offset, &it.applied)).collect();
    let shard = Shard::from_index(3).unwrap();
    assert_eq!(
        applied,
        [
            (4, &Applied::Assigned(vec![shard])),
            (5, &Applied::Config { version: 5 }),
            (6, &Applied::Snapshot),
            (7, &Applied::Config { version: 7 }),
        ]
    );
    assert_eq!(follower.state().table.get(&Group::Workers, shard).unwrap().epoch, 2);
}

#[test]
fn a_snapshot_with_a_gap_after_it_does_not_end_the_search() {
    let (mut log, state) = log();
    log.append(config(3));
    log.append(snapshot(&state));
    log.truncated = 4;
    let mut follower = follower();

    read(&mut follower, &log, at(1));

    assert!(follower.is_searching());
    assert_eq!(follower.state().version(), 3);
    assert_eq!(follower.read_at(), Timestamp::ZERO);
}

#[test]
fn an_old_snapshot_changes_nothing_for_a_process_that_is_ahead() {
    let (mut log, state) = log();
    log.append(config(3));
    let mut follower = follower();
    read(&mut follower, &log, at(1));
    log.append(snapshot(&state));

    let changes = read(&mut follower, &log, at(2));

    assert_eq!(changes, [Change { offset: 5, applied: Applied::Snapshot }]);
    assert_eq!(follower.state().version(), 4);
}

#[test]
fn a_snapshot_that_claims_later_records_is_void() {
    let (mut log, mut state) = log();
    state.next_offset = 50;
    log.append(snapshot(&state));
    let mut ahead = follower();

    let changes = read(&mut ahead, &log, at(1));

    assert_eq!(changes[3].applied, Applied::Void(VoidReason::SnapshotAhead));
    log.truncated = 2;
    let mut late = follower();
    read(&mut late, &log, at(1));
    assert!(late.state().is_empty());
}

#[test]
fn a_peers_state_ends_the_search() {
    let (mut log, state) = log();
    log.append(config(3));
    log.truncated = 2;
    let mut follower = follower();
    read(&mut follower, &log, at(1));

    let later = follower.adopt(State::decode(&state.encode()).unwrap(), at(1));
    read(&mut follower, &log, at(2));

    assert!(later);
    assert!(!follower.is_searching());
    assert_eq!(follower.state().version(), 4);
}

#[test]
fn a_page_asked_for_before_a_peers_state_came_does_not_hide_records() {
    let (mut log, state) = log();
    log.append(config(3));
    log.truncated = 2;
    let mut follower = follower();
    read(&mut follower, &log, at(1));
    log.append(config(4));
    let page = log.page(follower.next_read(), at(2));
    follower.adopt(state, at(1));

    let changes = follower.on_page(&page, at(2));

    assert!(changes.is_empty());
    assert_eq!(follower.next_read(), 4);
    read(&mut follower, &log, at(3));
    assert_eq!(follower.state().version(), 5);
}

#[test]
fn a_process_that_was_away_too_long_keeps_its_state_until_it_finds_a_later_one() {
    let (mut log, state) = log();
    let mut follower = follower();
    read(&mut follower, &log, at(1));
    log.append(config(3));
    log.append(config(4));
    log.truncated = 4;

    let changes = read(&mut follower, &log, at(9));

    assert!(changes.is_empty());
    assert!(follower.is_searching());
    assert_eq!(**follower.state(), state);
    assert_eq!(follower.read_at(), at(1));
}

#[test]
fn a_page_that_stops_short_of_the_end_does_not_show_that_the_state_is_current() {
    let (log, _) = log();
    let mut page = log.page(1, at(5));
    page.entries.pop();
    page.next = 3;
    let mut follower = follower();

    follower.on_page(&page, at(6));

    assert_eq!(follower.read_at(), Timestamp::ZERO);
    assert_eq!(follower.next_read(), 3);
}

#[test]
fn an_empty_page_shows_that_the_state_is_current_and_leaves_it_shared() {
    let (log, _) = log();
    let mut follower = follower();
    read(&mut follower, &log, at(1));
    let before = follower.state().clone();

    read(&mut follower, &log, at(7));

    assert_eq!(follower.read_at(), at(7));
    assert!(std::sync::Arc::ptr_eq(&before, follower.state()));
}

#[test]
fn the_text_of_a_snapshot_record_can_be_read_back() {
    let (_, state) = log();
    let record = snapshot(&state);
    let text = serde_json::to_string(&record).unwrap();

    let entry = Entry::parse(7, &text);

    assert_eq!(entry.record, Some(record));
}

#[test]
fn bytes_that_encode_no_state_are_rejected() {
    let (_, state) = log();
    let mut bytes = state.encode();
    bytes.truncate(bytes.len() / 2);

    let result = State::decode(&bytes);

    assert!(result.is_err());
}
