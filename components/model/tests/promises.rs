//! The invariants hold on random schedules of faults, and are violated without the mechanisms
//! that enforce them.

use std::ops::Range;

use guard::Rejection;
use model::{Fault, FaultKind, Kind, Load, Report, Simulation, SimulationOptions, Violation};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Default number of random schedules.
const SCHEDULES: u64 = 60;
/// Time that the end of a connection takes if it is lost and sent again, in ms.
const LONG_END_DELAY: u64 = 3_000;
/// Time during which jobs arrive, in ms.
const LENGTH: u64 = 12_000;
/// Seed in which tasks overlapped as requests from before a suspension counted as new.
const QUEUED_BEFORE_SUSPENSION: u64 = 610;
const ENTRIES: usize = 2;
const AGENTS: usize = 4;
/// Rejections that say nothing of another copy of the same start.
const REJECTIONS: [Rejection; 4] =
    [Rejection::Unhealthy, Rejection::Room, Rejection::Late, Rejection::Invalid];

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
    Load { kinds, spread: 0.4, estimate_spread: 0.4, bursts: Vec::new(), hot_rack: None }
}

/// Tasks that end before their start is sent a second time.
fn short_load() -> Load {
    let mut load = load();
    load.kinds.truncate(1);
    load.kinds[0].rate = 25.0;
    load.kinds[0].run_time = 4.0;
    load
}

fn options(seed: u64, faults: Vec<Fault>) -> SimulationOptions {
    let trace = number("TRACE").map(mesh::JobId);
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

/// A random schedule of faults, and one to three faults of calls that overlap.
fn random_call_faults(seed: u64) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut kinds = vec![
        FaultKind::LoseAnswers(0.3),
        FaultKind::SlowAnswers,
        FaultKind::RejectStarts(0.5, REJECTIONS[rng.random_range(0..REJECTIONS.len())]),
        FaultKind::UnsentStarts(0.5),
        FaultKind::FailCopies(0.5),
    ];
    let mut faults = random_faults(seed);
    let first = rng.random_range(0..LENGTH - 2_000);
    for _ in 0..rng.random_range(1..4) {
        let kind = kinds.swap_remove(rng.random_range(0..kinds.len()));
        let at = first + rng.random_range(0..1_000);
        faults.push(Fault { at, length: rng.random_range(1_000..6_000), kind });
    }
    faults
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|it| it.parse().ok())
}

/// The seed in `SEED`, or all below `count`.
fn seeds(count: u64) -> Range<u64> {
    number("SEED").map_or(0..count, |seed| seed..seed + 1)
}

/// A simulation that broke a promise.
#[derive(Debug, Clone, PartialEq)]
struct Failure {
    seed: u64,
    faults: Vec<FaultKind>,
    /// Number of violations, or of tasks that started again after they were done.
    count: usize,
    first: Violation,
}

/// Simulates faults of calls without any other fault, by seed.
fn simulate_calls<'a>(
    faults: &'a [FaultKind],
    load: &'a Load,
) -> impl Iterator<Item = (u64, Report)> + use<'a> {
    seeds(10).map(move |seed| {
        let schedule = faults.iter().map(|it| Fault { at: 500, length: LENGTH, kind: *it });
        let options = SimulationOptions { load: load.clone(), ..options(seed, schedule.collect()) };
        let report = Simulation::new(options).run();
        print_trace(seed, faults, &report);
        (seed, report)
    })
}

fn print_trace(seed: u64, faults: &[FaultKind], report: &Report) {
    for line in &report.trace {
        eprintln!("seed {seed}, {faults:?}: {line}");
    }
}

/// Simulations in which faults of calls, without any other fault, violate an invariant.
fn failures_with(faults: &[FaultKind], load: &Load) -> Vec<Failure> {
    let failure = |(seed, report): (u64, Report)| {
        let first = report.violations.first()?.clone();
        Some(Failure { seed, faults: faults.to_vec(), count: report.violations.len(), first })
    };
    simulate_calls(faults, load).filter_map(failure).collect()
}

/// Faults that leave a copy of a start without an answer for a while, or for good.
fn silent_calls() -> [FaultKind; 2] {
    [FaultKind::LoseAnswers(0.3), FaultKind::SlowAnswers]
}

/// Faults that answer a copy of a start in place of the endpoint.
fn rejected_starts() -> impl Iterator<Item = FaultKind> {
    let reject = |it| FaultKind::RejectStarts(0.5, it);
    REJECTIONS.into_iter().map(reject).chain([FaultKind::UnsentStarts(0.5)])
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
    for seed in seeds(number("SCHEDULES").unwrap_or(SCHEDULES)) {
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
fn no_promise_breaks_while_requests_wait_in_the_queues_of_entries() {
    let random = seeds(number("SCHEDULES").unwrap_or(SCHEDULES));
    for seed in random.chain([QUEUED_BEFORE_SUSPENSION]) {
        let mut options = options(seed, random_faults(seed));
        options.queue_delay = 100;
        // Some callers leave soon after they have sent their job.
        options.timeout = Some(if seed % 2 == 0 { 1_500 } else { 300 });
        options.end_delay = if seed % 3 == 0 { LONG_END_DELAY } else { 0 };

        let report = Simulation::new(options).run();

        print_trace(seed, &[], &report);
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

// Guards against jobs that start after a suspension of their entry although their callers have sent
// them to another one: they were read before it, and waited in a queue of the process.
#[test]
fn no_tasks_overlap_if_an_entry_is_suspended_while_requests_wait_in_its_queue() {
    let suspension = |at| Fault { at, length: 2_950, kind: FaultKind::SuspendEntry(0) };

    for seed in seeds(20) {
        let mut options = options(seed, [500, 4_500, 8_500].map(suspension).to_vec());
        options.queue_delay = 100;
        options.timeout = Some(1_500);

        let report = Simulation::new(options).run();

        print_trace(seed, &[FaultKind::SuspendEntry(0)], &report);
        assert_eq!(report.violations, vec![], "seed {seed}");
    }
}

// Guards against jobs that start when their entry goes on although their callers have sent them to
// another one: they waited in sockets, and the ends of their connections have not arrived.
#[test]
fn no_tasks_overlap_if_an_entry_is_suspended_and_the_ends_of_connections_are_late() {
    let suspension = |at| Fault { at, length: 4_000, kind: FaultKind::SuspendEntry(0) };

    for seed in seeds(20) {
        let mut options = options(seed, [500, 5_500, 10_500].map(suspension).to_vec());
        options.end_delay = LONG_END_DELAY;
        options.timeout = Some(1_500);

        let report = Simulation::new(options).run();

        print_trace(seed, &[FaultKind::SuspendEntry(0)], &report);
        assert_eq!(report.violations, vec![], "seed {seed}");
    }
}

// Guards against runs that are refused, or ended, on the word of one copy of their start while
// another copy runs: issue 24, with every other fault beside it.
#[test]
fn no_promise_breaks_on_random_schedules_with_faults_of_calls() {
    let failure = |seed| {
        let schedule = random_call_faults(seed);
        let faults: Vec<_> = schedule.iter().map(|it| it.kind).collect();
        let report = Simulation::new(options(seed, schedule)).run();
        print_trace(seed, &faults, &report);
        let first = report.violations.first()?.clone();
        Some(Failure { seed, faults, count: report.violations.len(), first })
    };
    let seeds = seeds(number("SCHEDULES").unwrap_or(SCHEDULES));
    let failures: Vec<_> = seeds.filter_map(failure).collect();

    assert_eq!(failures, vec![], "{} schedules fail", failures.len());
}

// Guards against failures of the tests below by a single fault, which they don't name.
#[test]
fn no_promise_breaks_with_one_fault_of_calls_alone() {
    for fault in
        silent_calls().into_iter().chain(rejected_starts()).chain([FaultKind::FailCopies(0.5)])
    {
        for load in [load(), short_load()] {
            assert_eq!(failures_with(&[fault], &load), vec![]);
        }
    }
}

// Guards against a task that is placed elsewhere, or whose job is refused, because one copy of its
// start was rejected while another copy runs (issue 24, H1).
#[test]
fn a_rejected_copy_of_a_start_does_not_speak_for_the_run() {
    let mut failures = Vec::new();
    for silence in silent_calls() {
        for rejection in rejected_starts() {
            failures.extend(failures_with(&[silence, rejection], &load()));
        }
    }

    assert_eq!(failures, vec![]);
}

// Guards against a task that runs elsewhere because one copy of its start has failed while
// another copy goes on (issue 24, H2).
#[test]
fn a_failed_copy_of_a_start_does_not_end_the_run() {
    let failures =
        silent_calls().map(|it| failures_with(&[it, FaultKind::FailCopies(0.5)], &load()));

    assert_eq!(failures.concat(), vec![]);
}

// Guards against a start under a third number, beside the run under the second, because a copy
// under the first number is answered `Old` after the number was raised.
#[test]
fn an_answer_to_an_earlier_number_does_not_start_another_run() {
    let failures = [load(), short_load()].map(|it| failures_with(&silent_calls(), &it));

    assert_eq!(failures.concat(), vec![]);
}

// Guards against a task that runs again after it was done, because a later copy of its start is
// answered `Old` (issue 24, H4).
#[test]
fn a_done_task_does_not_run_again_for_a_late_copy_of_its_start() {
    let [lost, slow] = silent_calls();
    let mut failures = Vec::new();
    for faults in [&[lost][..], &[slow], &[lost, slow]] {
        for load in [load(), short_load()] {
            for (seed, report) in simulate_calls(faults, &load) {
                let Some(first) = report.repeats.first().cloned() else { continue };
                let count = report.repeats.len();
                failures.push(Failure { seed, faults: faults.to_vec(), count, first });
            }
        }
    }

    assert_eq!(failures, vec![]);
}

/// A random schedule of faults, with one to four restarts of endpoints under their ids, each behind
/// a partition in half of the cases, with late calls or slow heartbeats in half of them, and with an
/// endpoint that announces its removal.
fn random_restarts(seed: u64) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x1d);
    let mut faults = random_faults(seed);
    for _ in 0..rng.random_range(1..5) {
        let agent = rng.random_range(0..AGENTS);
        let at = rng.random_range(0..LENGTH);
        let length = rng.random_range(1..1_500);
        faults.push(Fault { at, length, kind: FaultKind::RestartEndpoint(agent) });
        if rng.random_bool(0.5) {
            let at = at.saturating_sub(rng.random_range(0..1_000));
            let length = rng.random_range(100..3_000);
            faults.push(Fault { at, length, kind: FaultKind::PartitionEndpoint(agent) });
        }
    }
    let remaining = rng.random_range(10..2_000);
    let kind = FaultKind::RemoveEndpoint(rng.random_range(0..AGENTS), remaining);
    let at = rng.random_range(0..LENGTH);
    faults.push(Fault { at, length: remaining + rng.random_range(1..1_500), kind });
    for kind in [FaultKind::LateCalls(0.1), FaultKind::SlowHeartbeats, FaultKind::SlowAnswers] {
        if rng.random_bool(0.5) {
            let at = rng.random_range(0..LENGTH / 2);
            faults.push(Fault { at, length: LENGTH / 2, kind });
        }
    }
    faults
}

/// A restart of each endpoint in turn, during which a partition begins shortly after the endpoint is
/// back, beside the other faults.
fn restarts_before_partitions(seed: u64) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x2e);
    let mut faults = random_faults(seed);
    for at in (500..LENGTH).step_by(700) {
        let agent = rng.random_range(0..AGENTS);
        let downtime = rng.random_range(1..40);
        faults.push(Fault { at, length: downtime, kind: FaultKind::RestartEndpoint(agent) });
        let at = at + downtime + rng.random_range(0..40);
        let length = rng.random_range(400..2_000);
        faults.push(Fault { at, length, kind: FaultKind::PartitionEndpoint(agent) });
    }
    faults
}

/// Simulations of restarts that violate an invariant.
fn restart_failures(
    schedule: fn(u64) -> Vec<Fault>,
    announce_birth: bool,
) -> impl Iterator<Item = Failure> {
    let failure = move |seed| {
        let schedule = schedule(seed);
        let faults: Vec<_> = schedule.iter().map(|it| it.kind).collect();
        let options = SimulationOptions { announce_birth, ..options(seed, schedule) };
        let report = Simulation::new(options).run();
        print_trace(seed, &faults, &report);
        let first = report.violations.first()?.clone();
        Some(Failure { seed, faults, count: report.violations.len(), first })
    };
    seeds(number("SCHEDULES").unwrap_or(SCHEDULES)).filter_map(failure)
}

// Guards against endpoints that restart under their id and are taken for the instance before:
// leases by its clock, ends with its numbers, and calls to it that the new one carries out.
#[test]
fn no_promise_breaks_while_endpoints_restart_under_their_ids() {
    assert_eq!(restart_failures(random_restarts, true).collect::<Vec<_>>(), vec![]);
}

// Guards against a start that a restarted endpoint has accepted unnoticed, under a lease of 1000 ms
// in place of 500, and that is reported as lost too early.
#[test]
fn no_promise_breaks_if_a_partition_hides_a_restart() {
    assert_eq!(restart_failures(restarts_before_partitions, true).collect::<Vec<_>>(), vec![]);
}

#[test]
fn tasks_overlap_if_restarted_endpoints_are_told_apart_by_id_alone() {
    assert!(restart_failures(random_restarts, false).next().is_some());
    assert!(restart_failures(restarts_before_partitions, false).next().is_some());
}
