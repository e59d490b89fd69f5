//! Edits of an endpoint's state in the text.

use config::{EditError, Inventory, State, diff, set_state};

const TEXT: &str = include_str!("../../../inventories/harborlift.toml");

#[test]
fn adds_one_line_and_keeps_everything_else() {
    let edited = set_state(TEXT, "yard-2", State::Draining).unwrap();

    let added: Vec<_> = edited.lines().filter(|it| !TEXT.contains(it)).collect();
    assert_eq!(added, ["state = \"draining\""]);
    assert_eq!(edited.lines().count(), TEXT.lines().count() + 1);
    let changes = diff(&Inventory::parse(TEXT).unwrap(), &Inventory::parse(&edited).unwrap());
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].to_string(), "~ executor yard-2: state active -> draining");
}

#[test]
fn keeps_the_comment_after_a_state() {
    let text = TEXT.replacen("slots = 8", "state = \"draining\"  # oil change\nslots = 8", 1);

    let edited = set_state(&text, "yard-1", State::Active).unwrap();

    assert!(edited.contains("state = \"active\"  # oil change\nslots = 8"));
}

#[test]
fn finds_workers_and_inline_tables() {
    let text = "services = [{ name = \"desk\" }]\n\
                availability_zones = [{ name = \"a\", region = \"r\" }]\n\
                racks = [{ name = \"r\", availability_zone = \"a\" }]\n\
                workers = [{ name = \"w-1\", rack = \"r\", cores = 1, memory_gb = 1 }]\n";

    let edited = set_state(text, "w-1", State::Draining).unwrap();

    assert_eq!(Inventory::parse(&edited).unwrap().workers[0].state, State::Draining);
}

#[test]
fn refuses_a_name_that_no_endpoint_has() {
    let err = set_state(TEXT, "yardbook", State::Draining).unwrap_err();

    assert_eq!(err, EditError::UnknownEndpoint("yardbook".to_owned()));
}
