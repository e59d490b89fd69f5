//! Endpoints that announce their removal, at the load of a burst.

use model::{Burst, Fault, FaultKind, Kind, Load, Report, Simulation, SimulationOptions};

/// Time during which jobs arrive, in ms.
const LENGTH: u64 = 4_000;
const ENDPOINTS: usize = 14;
/// Capacity of an endpoint, in thousandths of a core.
const CAPACITY: u32 = 32_000;
const ENTRIES: usize = 2;
/// Jobs per second, tasks and run time in ms of each kind, for a fleet of 61 endpoints.
const KINDS: [(f64, f64, f64); 3] = [(206.0, 8.0, 60.0), (37.5, 4.0, 900.0), (600.0, 2.0, 200.0)];

/// 70 % load with a burst of 2.2 times, in which two of 14 endpoints announce that they leave after
/// `remaining` ms, and two others later.
fn simulate(seed: u64, remaining: u64, announce_remaining: bool) -> Report {
    let kind = |(rate, width, run_time): (f64, f64, f64)| Kind {
        name: run_time.to_string(),
        rate: rate * ENDPOINTS as f64 / 61.0,
        width,
        cpu: 2_900.0,
        run_time,
        attempts: 3,
        poison: 0.0,
    };
    let kinds = KINDS.into_iter().map(kind).collect();
    let bursts = vec![Burst { at: 500, length: 3_000, kind: None, times: 2.2 }];
    let load = Load { kinds, spread: 0.4, estimate_spread: 0.4, bursts, hot_rack: None };
    let fault = |at, agent| Fault {
        at,
        length: remaining + 1_000,
        kind: FaultKind::RemoveEndpoint(agent, remaining),
    };
    let faults = vec![fault(1_500, 0), fault(1_500, 1), fault(2_800, 2), fault(2_800, 3)];
    let options = SimulationOptions::new(seed, ENTRIES, vec![CAPACITY; ENDPOINTS], load, LENGTH);
    let report = Simulation::new(SimulationOptions { faults, announce_remaining, ..options }).run();
    assert_eq!(report.violations, vec![], "seed {seed}, {remaining} ms");
    report
}

// Guards against runs that are lost with an endpoint that had announced its removal, and against
// two runs of a task when they are stopped for it, also if the time left is shorter than any stop.
#[test]
fn no_run_is_lost_with_an_endpoint_that_announces_the_time_left_during_a_burst() {
    assert!(simulate(1, 150, false).removed_runs > 5);
    for seed in 0..3 {
        let (announced, unannounced) = (simulate(seed, 30, true), simulate(seed, 30, false));
        let (announced, unannounced) = (announced.removed_runs, unannounced.removed_runs);
        assert!(announced * 2 < unannounced, "seed {seed}: {announced} of {unannounced}");
    }
    for remaining in [150, 600] {
        assert_eq!(simulate(1, remaining, true).removed_runs, 0, "{remaining} ms");
    }
}
