//! Checks of an inventory.

use config::Inventory;

#[test]
fn names_the_key_and_value_of_an_undeclared_zone() {
    let text = "[[racks]]\nname = \"r1\"\navailability_zone = \"moon\"\n";

    let err = Inventory::parse(text).unwrap_err();

    assert_eq!(err.problems[0].key, "racks[0].availability_zone");
    assert!(err.problems[0].message.contains("\"moon\""));
}

#[test]
fn points_at_the_line_of_an_unknown_key() {
    let err = Inventory::parse("[rules]\nhurry = true\n").unwrap_err();

    assert_eq!(err.problems[0].line, Some(2));
}
