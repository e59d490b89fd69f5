//! Differences between inventories.

use config::{Inventory, State, diff};

fn inventory() -> Inventory {
    let text = include_str!("../../../inventories/harborlift.toml");
    Inventory::parse(text).unwrap()
}

fn lines(old: &Inventory, new: &Inventory) -> Vec<String> {
    diff(old, new).iter().map(ToString::to_string).collect()
}

#[test]
fn equal_inventories_do_not_differ() {
    let lines = lines(&inventory(), &inventory());

    assert!(lines.is_empty());
}

#[test]
fn names_the_changed_fields_with_both_values() {
    let mut new = inventory();
    new.executors[2].slots = 6;
    new.executors[2].state = State::Draining;
    new.rules.hedge = false;

    let lines = lines(&inventory(), &new);

    assert_eq!(
        lines,
        [
            "~ rules: hedge true -> false",
            "~ executor yard-3: slots 8 -> 6, state active -> draining",
        ]
    );
}

#[test]
fn names_added_and_removed_items() {
    let mut new = inventory();
    new.kinds[0].name = "berth-check".to_owned();
    new.workers.remove(8);

    let lines = lines(&inventory(), &new);

    assert_eq!(
        lines,
        ["+ kind yardbook/berth-check", "- kind yardbook/slot-check", "- worker hl-worker-9"]
    );
}

#[test]
fn another_order_is_no_difference() {
    let mut new = inventory();
    new.executors.reverse();

    let lines = lines(&inventory(), &new);

    assert!(lines.is_empty());
}
