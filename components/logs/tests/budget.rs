//! Budget of log lines in a second in which one kind of line floods the log.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use log::Level;
use logs::{Budget, Kind};

const RATE: u32 = 250;
const FLOOD: Kind = "an agent is heard";
const REFUSAL: Kind = "a job is refused";
const PERIOD: Duration = Duration::from_secs(1);

/// A budget in a period that a flood has used up, and the start of that period.
fn flooded() -> (Budget, Instant) {
    let start = Instant::now();
    let mut budget = Budget::new(start, RATE);
    for _ in 0..1_000 {
        budget.admit(Level::Info, FLOOD);
    }
    (budget, start)
}

// Guards against a second after a loss of power in which no refusal can be read.
#[test]
fn a_flood_of_one_kind_leaves_lines_to_the_others() {
    let (mut budget, _) = flooded();

    let written = (0..100).filter(|_| budget.admit(Level::Info, REFUSAL)).count();

    assert_eq!(written, 20);
}

#[test]
fn a_flood_of_one_kind_is_cut_at_the_rate() {
    let mut budget = Budget::new(Instant::now(), RATE);

    let written = (0..1_000).filter(|_| budget.admit(Level::Info, FLOOD)).count();

    assert_eq!(written, 200);
}

#[test]
fn warnings_are_written_up_to_the_whole_rate() {
    let (mut budget, _) = flooded();

    let written = (0..1_000).filter(|_| budget.admit(Level::Warn, REFUSAL)).count();

    assert_eq!(written, 50);
}

#[test]
fn dropped_lines_are_reported_by_kind_once_a_period() {
    let (mut budget, start) = flooded();
    for _ in 0..30 {
        budget.admit(Level::Info, REFUSAL);
    }

    let within = budget.renew(start + PERIOD / 2);
    let after = budget.renew(start + PERIOD);
    let later = budget.renew(start + PERIOD * 2);

    assert_eq!(within, BTreeMap::new());
    assert_eq!(after, BTreeMap::from([(FLOOD, 800), (REFUSAL, 10)]));
    assert_eq!(later, BTreeMap::new());
}

#[test]
fn a_new_period_has_the_whole_budget() {
    let (mut budget, start) = flooded();

    budget.renew(start + PERIOD);

    assert!(budget.admit(Level::Info, FLOOD));
}
