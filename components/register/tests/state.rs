//! Validity of records.

use ident::{Group, NodeId, Shard, Timestamp};
use register::{Applied, Assignment, Record, State, VoidReason};
use uuid::Uuid;

fn config(base: u64, comment: &str) -> Record {
    Record::Config { record: Uuid::nil(), base, text: inventory(comment) }
}

/// An inventory of one service, preceded by a comment.
fn inventory(comment: &str) -> String {
    format!("{comment}[[services]]\nname = \"yardbook\"\n")
}

fn assign(epochs: &[(u16, u64)]) -> Record {
    let by = NodeId("127.0.0.1:7000".parse().unwrap());
    let shards = epochs.iter().map(|(shard, epoch)| (self::shard(*shard), assignment(*epoch)));
    Record::Assign { record: Uuid::nil(), by, group: Group::Workers, shards: shards.collect() }
}

fn assignment(epoch: u64) -> Assignment {
    let owner = NodeId("127.0.0.1:7000".parse().unwrap());
    Assignment { epoch, owner, deputy: None, from: Timestamp::ZERO, grace: Timestamp::ZERO }
}

fn shard(index: u16) -> Shard {
    Shard::from_index(index).unwrap()
}

/// State after the records, at consecutive offsets from 1.
fn state(records: &[Record]) -> State {
    let mut state = State::default();
    for (offset, record) in (1..).zip(records) {
        state.apply(offset, record);
    }
    state
}

#[test]
fn of_two_publishes_from_one_base_the_first_wins() {
    let mut state = state(&[config(0, ""), config(1, "# first\n")]);

    let applied = state.apply(3, &config(1, "# second\n"));

    assert_eq!(applied, Applied::Void(VoidReason::StaleBase { base: 1, current: 2 }));
    assert_eq!(state.config.unwrap().text, inventory("# first\n"));
}

#[test]
fn an_old_publish_that_is_repeated_is_void() {
    let mut state = state(&[config(0, ""), config(1, "# second\n")]);

    let applied = state.apply(3, &config(0, ""));

    assert_eq!(applied, Applied::Void(VoidReason::StaleBase { base: 0, current: 2 }));
}

#[test]
fn a_publish_from_a_version_that_never_was_is_void() {
    let mut state = state(&[config(0, "")]);

    let applied = state.apply(2, &config(7, ""));

    assert_eq!(applied, Applied::Void(VoidReason::StaleBase { base: 7, current: 1 }));
}

#[test]
fn an_inventory_that_fails_its_checks_leaves_the_version_in_force() {
    let mut state = state(&[config(0, "")]);

    let applied = state.apply(2, &config(1, "[rules]\nhurry = 1\n"));

    assert!(matches!(applied, Applied::Void(VoidReason::Invalid(_))));
    assert_eq!(state.version(), 1);
}

#[test]
fn shards_with_a_stale_or_skipped_epoch_are_left_out() {
    let mut state = state(&[assign(&[(1, 1), (2, 1), (3, 1)])]);

    let applied = state.apply(2, &assign(&[(1, 1), (2, 2), (3, 3)]));

    assert_eq!(applied, Applied::Assigned(vec![shard(2)]));
}

#[test]
fn an_assignment_of_stale_epochs_alone_is_void() {
    let mut state = state(&[assign(&[(1, 1)])]);

    let applied = state.apply(2, &assign(&[(1, 1)]));

    assert_eq!(applied, Applied::Void(VoidReason::StaleEpochs));
}

#[test]
fn a_record_before_the_next_offset_is_not_applied_again() {
    let mut state = state(&[config(0, "")]);

    let applied = state.apply(1, &config(1, "# again\n"));

    assert_eq!(applied, Applied::Void(VoidReason::Repeated));
    assert_eq!(state.version(), 1);
}

#[test]
fn a_state_with_an_older_configuration_is_never_adopted() {
    let mut present = state(&[config(0, ""), config(1, "")]);
    let mut older = state(&[config(0, "")]);
    older.skip_to(90);

    let adopted = present.adopt(older);

    assert!(!adopted);
    assert_eq!(present.version(), 2);
}

#[test]
fn a_state_with_older_owners_is_never_adopted() {
    let mut present = state(&[assign(&[(1, 1)]), assign(&[(1, 2)])]);
    let mut older = state(&[assign(&[(1, 1)])]);
    older.skip_to(90);

    let adopted = present.adopt(older);

    assert!(!adopted);
    assert_eq!(present.table.get(&Group::Workers, shard(1)).unwrap().epoch, 2);
}

#[test]
fn a_later_state_is_adopted_whole() {
    let mut present = state(&[config(0, "")]);
    let later = state(&[config(0, ""), config(1, "# later\n"), assign(&[(1, 1)])]);

    let adopted = present.adopt(later.clone());

    assert!(adopted);
    assert_eq!(present, later);
}
