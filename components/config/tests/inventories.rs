//! The example inventories.

use config::Inventory;

fn harborlift() -> Inventory {
    Inventory::parse(include_str!("../../../inventories/harborlift.toml")).unwrap()
}

fn vanua() -> Inventory {
    Inventory::parse(include_str!("../../../inventories/vanua.toml")).unwrap()
}

#[test]
fn harborlift_has_ten_executors_in_three_zones() {
    let inventory = harborlift();

    let zones = inventory.availability_zones.iter().map(|it| it.name.as_str());
    assert_eq!(zones.collect::<Vec<_>>(), ["mystic-shed", "pier-yard", "lift-bay"]);
    assert_eq!(inventory.executors.len(), 10);
    assert!(inventory.executors.iter().all(|it| it.slots == 8 && it.connections == 60));
    assert!(inventory.workers.iter().all(|it| it.cores == 64 && it.memory_gb == 256));
}

#[test]
fn a_wrap_ticket_is_not_idempotent() {
    let inventory = harborlift();

    let idempotent = |kind| inventory.kind("yardbook", kind).unwrap().idempotent;

    assert!(idempotent("slot-check"));
    assert!(idempotent("cradle-fit"));
    assert!(!idempotent("wrap-ticket"));
}

#[test]
fn vanua_runs_no_check_twice_and_sends_no_second_copy() {
    let inventory = vanua();

    assert!(inventory.kinds.iter().all(|it| !it.idempotent));
    assert!(!inventory.rules.hedge);
    assert!(inventory.rules.hand_on_wait_ms > harborlift().rules.hand_on_wait_ms);
    assert!(inventory.workers.iter().all(|it| it.cores == 16 && it.memory_gb == 32));
}

#[test]
fn three_workers_stand_in_each_rack() {
    for inventory in [harborlift(), vanua()] {
        for rack in &inventory.racks {
            let workers = inventory.workers.iter().filter(|it| it.rack == rack.name);
            assert_eq!(workers.count(), 3, "{}", rack.name);
        }
    }
}

#[test]
fn rendered_toml_holds_the_same_inventory() {
    for inventory in [harborlift(), vanua()] {
        let rendered = inventory.to_toml();

        assert_eq!(Inventory::parse(&rendered).unwrap(), inventory);
    }
}
