//! Tasks that crash each endpoint that starts them.

use std::ops::Range;

use mesh::JobId;
use model::{Fault, FaultKind, Load, Report, Simulation, SimulationOptions};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Time during which jobs arrive, in ms.
const LENGTH: u64 = 6_000;
/// Time for which callers wait, in ms; no deadline hides how often a task is started.
const PATIENCE_MS: u64 = 60_000;
/// Crashes under one task after which it must not be started again.
const MAX_CRASHES: u32 = 3;
/// The same while agents that have seen crashes are suspended or cannot report them. The platform's
/// rule allows two more starts.
const MAX_CRASHES_UNREPORTED: u32 = 5;
const AGENTS: usize = 8;

/// Jobs of three kinds at 40 % load, 4 % of the first kind deadly.
fn options(seed: u64, faults: &[Fault]) -> SimulationOptions {
    let load = Load::of_three_kinds(0.4 * 64_000.0 * AGENTS as f64);
    let options = SimulationOptions::new(seed, 3, vec![64_000; AGENTS], load, LENGTH);
    let deadly = FaultKind::DeadlyJobs { kind: 0, share: 0.04 };
    let mut faults = faults.to_vec();
    faults.push(Fault { at: 0, length: LENGTH, kind: deadly });
    let trace = number("TRACE").map(JobId);
    SimulationOptions { faults, timeout: Some(PATIENCE_MS), trace, ..options }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|it| it.parse().ok())
}

/// The seed in `SEED`, or as many as `SCHEDULES` says.
fn seeds() -> Range<u64> {
    let count = number("SCHEDULES").unwrap_or(5);
    number("SEED").map_or(0..count, |seed| seed..seed + 1)
}

fn simulate(options: SimulationOptions) -> Report {
    let report = Simulation::new(options).run();
    for line in &report.trace {
        eprintln!("{line}");
    }
    report
}

/// Faults that end runs without a crash of their endpoint, or with one that no task has caused.
fn random_losses(seed: u64) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x31);
    let agent = rng.random_range(0..AGENTS);
    let mut kinds = vec![FaultKind::CrashEndpoint(agent), FaultKind::RestartEndpoint(agent)];
    for _ in 0..rng.random_range(4..10) {
        let agent = rng.random_range(0..AGENTS);
        kinds.push(match rng.random_range(0..7) {
            0 => FaultKind::RemoveEndpoint(agent, 300),
            1 => FaultKind::PartitionEndpoint(agent),
            2 => FaultKind::KillAgent(agent),
            3 => FaultKind::SuspendAgent(agent),
            4 => FaultKind::LoseSent(agent),
            5 => FaultKind::LoseReceived(agent),
            _ => FaultKind::Loss(0.1),
        });
    }
    let mut fault = |kind| {
        let at = rng.random_range(0..LENGTH);
        Fault { at, length: rng.random_range(400..3_000), kind }
    };
    kinds.into_iter().map(&mut fault).collect()
}

/// Highest number of crashes under one task.
fn most_crashes(report: &Report) -> u32 {
    report.deadly_crashes.values().copied().max().unwrap_or(0)
}

// Guards against a task that crashes one endpoint after the other until its caller gives up.
#[test]
fn a_task_that_crashes_its_endpoints_is_not_started_for_ever() {
    for seed in seeds() {
        let report = simulate(options(seed, &[]));

        assert!(most_crashes(&report) <= MAX_CRASHES, "seed {seed}: {:?}", report.deadly_crashes);
        assert_eq!((report.sound_failed, report.violations), (vec![], vec![]), "seed {seed}");
    }
}

// Guards against a count of crashes that is lost with the entry that has ordered the runs, while
// the caller sends its job to another entry.
#[test]
fn the_crashes_under_a_task_count_across_entries_that_are_killed() {
    for seed in seeds() {
        let kill = |number: u64| Fault {
            at: 700 + 900 * number,
            length: 600,
            kind: FaultKind::KillEntry(number as usize % 3),
        };
        let faults: Vec<_> = (0..6).map(kill).collect();
        let report = simulate(options(seed, &faults));

        assert!(most_crashes(&report) <= MAX_CRASHES, "seed {seed}: {:?}", report.deadly_crashes);
        assert_eq!((report.sound_failed, report.violations), (vec![], vec![]), "seed {seed}");
    }
}

// Guards against sound jobs that are given up because their endpoints were cut off, removed or
// crashed by chance.
#[test]
fn no_sound_job_is_given_up_for_crashes_that_no_task_has_caused() {
    for seed in seeds() {
        let sound = SimulationOptions { faults: random_losses(seed), ..options(seed, &[]) };
        let sound = SimulationOptions { announce_birth: true, ..sound };
        let report = simulate(sound);

        assert_eq!(report.sound_given_up, vec![], "seed {seed}");
        assert_eq!((report.sound_failed, report.violations), (vec![], vec![]), "seed {seed}");
    }
}

// Guards against sound jobs that are given up, and against a bound that does not hold, beside
// silent, lossy and restarted processes.
#[test]
fn deadly_tasks_are_found_beside_other_losses() {
    for seed in seeds() {
        let options = options(seed, &random_losses(seed));
        let options = SimulationOptions { announce_birth: true, ..options };
        let report = simulate(options);

        assert!(
            most_crashes(&report) <= MAX_CRASHES_UNREPORTED,
            "seed {seed}: {:?}",
            report.deadly_crashes
        );
        assert_eq!((report.sound_failed, report.violations), (vec![], vec![]), "seed {seed}");
    }
}

// Guards against callers that wait for a job which is known to crash its endpoints.
#[test]
fn a_job_that_crashes_its_endpoints_is_answered_as_failed() {
    for seed in seeds() {
        let mut options = options(seed, &[]);
        // The last of them can be answered before the end.
        options.faults[0].length = 2_000;
        let report = simulate(options);

        assert_eq!(report.deadly_failed, report.deadly_crashes.len() as u64, "seed {seed}");
    }
}
