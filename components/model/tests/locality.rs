//! Placement with a rack that most jobs of one kind name.

use model::{HotRack, Load, Report, Simulation, SimulationOptions};

const ENTRIES: usize = 3;
const ENDPOINTS: usize = 14;
const ENDPOINTS_ON_RACK: usize = 4;
/// Capacity of an endpoint, in thousandths of a core.
const CAPACITY: u32 = 64_000;
/// Time during which jobs arrive, in ms.
const LENGTH: u64 = 4_000;
/// Index of the kind of which all jobs name the rack.
const HOT_KIND: usize = 3;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Offered work relative to capacity, without the longer run times away from the rack.
const LOAD: f64 = 0.8;
const REMOTE_FACTOR: f64 = 3.0;
/// Share of the jobs of a kind that name the rack.
const HOT_SHARE: f64 = 0.6;

/// Plays a load in which 60 % of the jobs of the last kind name a rack; entries know the factor
/// if `told`.
fn simulate(seed: u64, told: bool) -> Report {
    let mut load = Load::of_three_kinds(LOAD * ENDPOINTS as f64 * f64::from(CAPACITY));
    let mut hot = load.kinds[HOT_KIND - 1].clone();
    hot.name = "order on the rack".to_owned();
    hot.rate *= HOT_SHARE;
    load.kinds[HOT_KIND - 1].rate *= 1.0 - HOT_SHARE;
    load.kinds.push(hot);
    load.hot_rack = Some(HotRack {
        kind: HOT_KIND,
        endpoints: ENDPOINTS_ON_RACK,
        remote_factor: REMOTE_FACTOR,
    });
    let mut options =
        SimulationOptions::new(seed, ENTRIES, vec![CAPACITY; ENDPOINTS], load, LENGTH);
    options.remote_percent = told.then_some((REMOTE_FACTOR * 100.0) as u32);
    let report = Simulation::new(options).run();
    assert_eq!(report.violations, vec![]);
    report
}

#[test]
fn a_rack_that_most_jobs_of_a_kind_name_serves_more_of_them_in_time_at_no_cost_to_others() {
    // Guards against the constant penalty of 50 %, with which tasks leave the rack too soon.
    let [before, after] = [false, true].map(|told| {
        let reports = SEEDS.map(|seed| simulate(seed, told));
        let share = |kind: usize| {
            let shares = reports.iter().map(|it| it.kinds[kind].share_in_time());
            shares.sum::<f64>() / SEEDS.len() as f64
        };
        [0, 1, 2, HOT_KIND].map(share)
    });

    println!("in time by kind: {before:.3?} to {after:.3?}");
    for kind in 0..HOT_KIND {
        assert!(after[kind] > before[kind] - 0.02, "{kind}: {before:?} to {after:?}");
    }
    assert!(after[HOT_KIND] > before[HOT_KIND] + 0.3, "{before:?} to {after:?}");
}
