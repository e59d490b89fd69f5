//! Tasks that crash each endpoint that starts them.

use model::{Fault, FaultKind, Load, Report, Simulation, SimulationOptions};

/// Time during which jobs arrive, in ms.
const LENGTH: u64 = 6_000;
/// Time for which callers wait, in ms; no deadline hides how often a task is started.
const PATIENCE_MS: u64 = 60_000;
/// Crashes under one task after which it must not be started again.
const MAX_CRASHES: u32 = 3;
const AGENTS: usize = 8;

/// Jobs of three kinds at 40 % load, 4 % of the first kind deadly.
fn options(seed: u64, faults: &[Fault]) -> SimulationOptions {
    let load = Load::of_three_kinds(0.4 * 64_000.0 * AGENTS as f64);
    let options = SimulationOptions::new(seed, 3, vec![64_000; AGENTS], load, LENGTH);
    let deadly = FaultKind::DeadlyJobs { kind: 0, share: 0.04 };
    let mut faults = faults.to_vec();
    faults.push(Fault { at: 0, length: LENGTH, kind: deadly });
    SimulationOptions { faults, timeout: Some(PATIENCE_MS), ..options }
}

fn simulate(options: SimulationOptions) -> Report {
    Simulation::new(options).run()
}

/// Highest number of crashes under one task.
fn most_crashes(report: &Report) -> u32 {
    report.deadly_crashes.values().copied().max().unwrap_or(0)
}

// Guards against a task that crashes one endpoint after the other until its caller gives up.
#[test]
fn a_task_that_crashes_its_endpoints_is_not_started_for_ever() {
    for seed in 0..5 {
        let report = simulate(options(seed, &[]));

        assert!(!report.deadly_crashes.is_empty(), "seed {seed}");
        assert!(most_crashes(&report) <= MAX_CRASHES, "seed {seed}: {:?}", report.deadly_crashes);
        assert_eq!((report.sound_failed, report.violations), (0, vec![]), "seed {seed}");
    }
}

// Guards against a count of crashes that is lost with the entry that has ordered the runs, while
// the caller sends its job to another entry.
#[test]
fn the_crashes_under_a_task_count_across_entries_that_are_killed() {
    for seed in 0..5 {
        let kill = |number: u64| Fault {
            at: 700 + 900 * number,
            length: 600,
            kind: FaultKind::KillEntry(number as usize % 3),
        };
        let faults: Vec<_> = (0..6).map(kill).collect();
        let report = simulate(options(seed, &faults));

        assert!(!report.deadly_crashes.is_empty(), "seed {seed}");
        assert!(most_crashes(&report) <= MAX_CRASHES, "seed {seed}: {:?}", report.deadly_crashes);
        assert_eq!((report.sound_failed, report.violations), (0, vec![]), "seed {seed}");
    }
}
