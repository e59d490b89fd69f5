//! Malformed inventories give problems, never a panic.

use config::Inventory;
use proptest::{
    prelude::any,
    sample::Index,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const CASES: u32 = 500;
const INVENTORY: &str = include_str!("../../../scenarios/yard.toml");

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[8; 32]))
}

#[test]
fn any_text_is_accepted_or_reports_a_problem() {
    runner()
        .run(&"\\PC*", |text| {
            if let Err(err) = Inventory::parse(&text) {
                assert!(!err.to_string().is_empty());
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_lost_line_leaves_an_inventory_that_renders_or_a_problem() {
    let lines: Vec<&str> = INVENTORY.lines().collect();

    runner()
        .run(&any::<Index>(), |index| {
            let mut left = lines.clone();
            left.remove(index.index(lines.len()));
            match Inventory::parse(&left.join("\n")) {
                Ok(inventory) => {
                    assert_eq!(Inventory::parse(&inventory.to_toml()), Ok(inventory));
                }
                Err(err) => assert!(!err.problems.is_empty()),
            }
            Ok(())
        })
        .unwrap();
}
