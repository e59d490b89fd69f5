//! Errors of invalid scripts.

use scenario::{PlayError, Script, World};

#[test]
fn names_the_line_and_column_of_a_mistake() {
    let text = "inventory yard\nat 0ms submit ticket\n";

    let err = Script::parse(text).unwrap_err();

    assert!(err.to_string().contains("--> 2:21"), "{err}");
    assert!(err.to_string().contains("expected name"), "{err}");
}

#[test]
fn refuses_names_that_the_inventory_lacks() {
    let script = Script::parse("at 0ms kill nobody").unwrap();
    let inventory = include_str!("../../../scenarios/yard.toml");

    let result = World::play(script, inventory);

    assert_eq!(result.unwrap_err(), PlayError::UnknownName("nobody".to_owned()));
}
