//! The invariants hold on random schedules of faults, and are violated without the mechanisms
//! that enforce them.

use model::{Fault, FaultKind, Kind, Load, Report, Simulation, SimulationOptions};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Default number of random schedules.
const SCHEDULES: u64 = 60;
/// Time during which jobs arrive, in ms.
const LENGTH: u64 = 12_000;
const ENTRIES: usize = 2;
const AGENTS: usize = 4;

fn load() -> Load {
    let kind = |name: &str, rate, width, run_time| Kind {
        name: name.to_owned(),
        rate,
        width,
        cpu: 150.0,
        run_time,
        attempts: 3,
        poison: 0.01,
    };
    let kinds = vec![kind("short", 8.0, 4.0, 60.0), kind("long", 4.0, 2.0, 1_200.0)];
    Load { kinds, spread: 0.4, estimate_spread: 0.4, bursts: Vec::new() }
}

fn options(seed: u64, faults: Vec<Fault>) -> SimulationOptions {
    let trace = std::env::var("TRACE").ok().and_then(|it| it.parse().ok()).map(mesh::JobId);
    let options = SimulationOptions::new(seed, ENTRIES, vec![1_000; AGENTS], load(), LENGTH);
    SimulationOptions { faults, trace, ..options }
}

/// A random schedule of up to 8 faults, at most one of each kind, that may overlap.
fn random_faults(seed: u64) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(2..9);
    let mut faults = Vec::new();
    for _ in 0..count {
        let entry = rng.random_range(0..ENTRIES);
        let agent = rng.random_range(0..AGENTS);
        let kind = match rng.random_range(0..13) {
            0 => FaultKind::KillEntry(entry),
            1 => FaultKind::KillAgent(agent),
            2 => FaultKind::SuspendEntry(entry),
            3 => FaultKind::SuspendAgent(agent),
            4 => FaultKind::CrashEndpoint(agent),
            5 => FaultKind::PartitionEndpoint(agent),
            6 => FaultKind::HangEndpoint(agent),
            7 => FaultKind::FailEndpoint(agent),
            8 => FaultKind::SlowEndpoint(agent, 6.0),
            9 => FaultKind::LoseSent(agent),
            10 => FaultKind::LoseReceived(agent),
            11 => FaultKind::LateCalls(0.1),
            _ => FaultKind::Loss(0.05),
        };
        let at = rng.random_range(0..LENGTH);
        let length = rng.random_range(50..5_000);
        let same = |it: &Fault| std::mem::discriminant(&it.kind) == std::mem::discriminant(&kind);
        if !faults.iter().any(same) {
            faults.push(Fault { at, length, kind });
        }
    }
    faults
}

/// Whether a combination of faults, repeated three times, violates an invariant on any of 20
/// seeds of a changed deployment.
///
/// Each fault is given with its delay after the start of the combination, in ms.
fn violates(kinds: &[(u64, FaultKind)], length: u64, change: fn(&mut SimulationOptions)) -> bool {
    (0..20).any(|seed| {
        let fault = |at, (delay, kind)| Fault { at: at + delay, length, kind };
        let combination = |at| kinds.iter().map(move |it| fault(at, *it));
        let faults = (0..3).flat_map(|number| combination(500 + number * 4_000)).collect();
        let mut options = options(seed, faults);
        change(&mut options);
        !Simulation::new(options).run().violations.is_empty()
    })
}

fn simulate(seed: u64) -> Report {
    Simulation::new(options(seed, random_faults(seed))).run()
}

#[test]
fn no_promise_breaks_on_random_schedules_of_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|it| it.parse::<u64>().ok());
    let schedules = number("SCHEDULES").unwrap_or(SCHEDULES);
    for seed in number("SEED").map_or(0..schedules, |seed| seed..seed + 1) {
        let report = simulate(seed);

        if !report.violations.is_empty() {
            eprintln!("{}", report.trace.join("\n"));
        }
        assert_eq!(report.violations, vec![], "seed {seed}: {:?}", random_faults(seed));
    }
}

#[test]
fn no_promise_breaks_while_entries_watch_only_some_agents() {
    for seed in 0..SCHEDULES {
        let mut options = options(seed, random_faults(seed));
        options.policy.min_watched = 1;

        let report = Simulation::new(options).run();

        assert_eq!(report.violations, vec![], "seed {seed}: {:?}", random_faults(seed));
    }
}

#[test]
fn a_seed_determines_the_simulation() {
    let (first, second) = (simulate(3), simulate(3));

    assert_eq!(first.datagrams, second.datagrams);
    assert_eq!(first.calls, second.calls);
}

#[test]
fn nearly_all_jobs_are_answered_in_time_without_faults() {
    let report = Simulation::new(options(1, Vec::new())).run();

    assert_eq!(report.violations, vec![]);
    assert!(report.share_in_time() >= 0.97, "{}", report.share_in_time());
}

#[test]
fn tasks_overlap_if_agents_keep_the_runs_of_silent_entries() {
    let change = |options: &mut SimulationOptions| options.timing.entry_silence = 60_000;
    let faults = [(0, FaultKind::KillEntry(0))];

    assert!(violates(&faults, 3_500, change));
    assert!(!violates(&faults, 3_500, |_| {}));
}

#[test]
fn tasks_overlap_if_entries_run_lost_tasks_again_too_early() {
    let change = |options: &mut SimulationOptions| options.run_expiry = 0;
    let faults = [(0, FaultKind::LoseSent(0))];

    assert!(violates(&faults, 1_500, change));
    assert!(!violates(&faults, 1_500, |_| {}));
}

#[test]
fn tasks_overlap_if_leases_are_long() {
    let change = |options: &mut SimulationOptions| options.timing.lease = 1_000;
    let faults = [(0, FaultKind::LoseSent(0)), (400, FaultKind::PartitionEndpoint(0))];

    assert!(violates(&faults, 3_000, change));
    assert!(!violates(&faults, 3_000, |_| {}));
}

#[test]
fn tasks_overlap_if_agents_take_orders_that_were_decided_on_old_reports() {
    let change = |options: &mut SimulationOptions| options.timing.order_age = 60_000;
    let faults = [(0, FaultKind::SuspendAgent(0))];

    assert!(violates(&faults, 1_250, change));
    assert!(!violates(&faults, 1_250, |_| {}));
}
