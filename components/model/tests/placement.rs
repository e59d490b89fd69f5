//! Collisions of orders from several entries on a fleet of unequal endpoints.

use model::{Simulation, SimulationOptions};

/// Time during which jobs arrive, in ms.
const LENGTH: u64 = 2_000;
/// Largest share of the ordered runs that may be refused for lack of room.
const MAX_REFUSED: f64 = 0.02;

fn assert_few_are_refused_for_room(entries: usize, percent: u32) {
    let report = Simulation::new(SimulationOptions::of_fleet(1, entries, percent, LENGTH)).run();

    assert_eq!(report.violations, vec![]);
    let share = report.orders.room_share();
    assert!(share <= MAX_REFUSED, "{share} of the orders are refused for lack of room");
}

#[test]
fn at_60_percent_load_ten_uneven_entries_seldom_collide() {
    assert_few_are_refused_for_room(10, 60);
}

#[test]
fn at_80_percent_load_three_uneven_entries_seldom_collide() {
    assert_few_are_refused_for_room(3, 80);
}

#[test]
fn at_80_percent_load_ten_uneven_entries_seldom_collide() {
    assert_few_are_refused_for_room(10, 80);
}
