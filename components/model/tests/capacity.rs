//! Endpoints whose capacity shrinks and grows again while they run.

use model::{Fault, FaultKind, Kind, Load, Report, Simulation, SimulationOptions};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Time during which jobs arrive, in ms.
const LENGTH: u64 = 16_000;
const AGENTS: usize = 4;
/// Default number of random schedules.
const SCHEDULES: u64 = 20;

fn options(seed: u64, faults: Vec<Fault>) -> SimulationOptions {
    let kind = |name: &str, rate, width, run_time| Kind {
        name: name.to_owned(),
        rate,
        width,
        cpu: 150.0,
        run_time,
        attempts: 3,
        poison: 0.0,
    };
    let kinds = vec![kind("short", 12.0, 4.0, 60.0), kind("long", 6.0, 2.0, 600.0)];
    let load =
        Load { kinds, spread: 0.4, estimate_spread: 0.4, bursts: Vec::new(), hot_rack: None };
    let options = SimulationOptions::new(seed, 2, vec![1_000; AGENTS], load, LENGTH);
    SimulationOptions { faults, announce_birth: true, ..options }
}

/// Shrinks each endpoint once or twice, to nothing in some cases, beside other faults.
fn shrinks(seed: u64) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for agent in 0..AGENTS {
        for at in [500, 8_500] {
            let share = [0.0, 0.2, 0.4, 0.6][rng.random_range(0..4)];
            let at = at + rng.random_range(0..1_000);
            let kind = FaultKind::ShrinkEndpoint(agent, share);
            faults.push(Fault { at, length: rng.random_range(1_000..7_000), kind });
        }
    }
    let agent = rng.random_range(0..AGENTS);
    let others = [
        FaultKind::SuspendAgent(agent),
        FaultKind::CrashEndpoint(agent),
        FaultKind::PartitionEndpoint(agent),
        FaultKind::KillEntry(0),
        FaultKind::LateCalls(0.1),
    ];
    let kind = others[rng.random_range(0..others.len())];
    faults.push(Fault { at: 3_000, length: rng.random_range(200..2_000), kind });
    faults
}

/// Number of random schedules, from the environment if it names one.
fn schedules() -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|it| it.parse().ok()).unwrap_or(SCHEDULES)
}

fn simulate(seed: u64, faults: Vec<Fault>) -> Report {
    Simulation::new(options(seed, faults)).run()
}

// Guards against starts on an endpoint by the capacity that it had before it shrank.
#[test]
fn no_start_exceeds_a_capacity_that_has_shrunk() {
    for seed in 0..schedules() {
        let report = simulate(seed, shrinks(seed));

        assert_eq!(report.violations, vec![], "seed {seed}: {:?}", shrinks(seed));
    }
}

// Guards against an agent that takes a late heartbeat with the earlier capacity for the newest.
#[test]
fn no_start_exceeds_a_capacity_whose_heartbeats_overtake_each_other() {
    for seed in 0..schedules() {
        let mut faults = shrinks(seed);
        faults.push(Fault { at: 6_000, length: 6_000, kind: FaultKind::SlowHeartbeats });
        let report = simulate(seed, faults);

        assert_eq!(report.violations, vec![], "seed {seed}: {:?}", shrinks(seed));
    }
}
