//! Creation and parsing of ids, and their mapping to shards.

use ident::{ParseIdError, RequestId, Shard, Timestamp};

#[test]
fn keeps_the_time_of_first_submission() {
    let made = Timestamp::from_millis(1_790_000_000_123);

    let id = RequestId::new(made, [7; 10]);

    assert_eq!(id.created_at(), made);
}

#[test]
fn rejects_a_uuid_of_another_version() {
    let text = "8c4d1b1e-52c6-4b0e-9f0e-2f2d8f1f9b11";

    let parsed = text.parse::<RequestId>();

    assert!(matches!(parsed, Err(ParseIdError::WrongVersion(_))));
}

#[test]
fn rejects_a_text_that_is_no_uuid_and_names_it() {
    let err = "yard-7".parse::<RequestId>().unwrap_err();

    assert!(err.to_string().contains("\"yard-7\""));
}

#[test]
fn puts_an_id_into_the_same_shard_every_time() {
    let id = RequestId::new(Timestamp::from_millis(5), [1; 10]);

    assert_eq!(Shard::of(id), Shard::of(id.to_string().parse().unwrap()));
}
