//! Generates the faults of a seed.

use std::{ops::Range, time::Duration};

use hyper::StatusCode;
use nix::sys::signal::Signal;
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

use crate::proxy::{DatagramFault, StreamFault};

/// Time within which series of faults begin, in ms.
const START_WINDOW_MS: u64 = 9_000;
/// Number of series of faults in a plan.
const SERIES: Range<usize> = 5..14;
/// Number of consecutive faults in a series.
const FAULTS_PER_SERIES: Range<u64> = 1..4;
/// Duration of a fault, in ms.
const FAULT_MS: Range<u64> = 50..3_000;
/// Delay before a stopped process is started again, in ms; a process has 6 s to stop.
const RESTART_DELAY_MS: u64 = 6_500;
/// Rates of the executors' clocks, in parts per thousand.
const CLOCK_RATES: Range<u64> = 980..1_021;

/// Changes the seed of a plan to that of its call faults.
const CALL_FAULTS_SEED: u64 = 0xca11;
/// Number of series of call faults in a plan.
const CALL_SERIES: Range<usize> = 8..16;
/// Number of consecutive call faults in a series.
const CALL_FAULTS_PER_SERIES: Range<u64> = 2..6;
/// Probability that a call fault affects an executor.
const CALL_FAULT_SPREAD: f64 = 0.7;
/// Statuses of rejected starts.
const REJECTIONS: [StatusCode; 4] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::CONFLICT,
    StatusCode::INTERNAL_SERVER_ERROR,
];

/// One change to the deployment.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Step {
    Signal(usize, Signal),
    Kill(usize),
    Start(usize),
    /// Fault of the datagrams of a process.
    Datagrams(usize, DatagramFault),
    /// Fault of the connections of callers to an entry.
    Callers(usize, StreamFault),
    /// Fault of the connections of a process to the store.
    Store(usize, StreamFault),
    /// Fault of the connections of an agent to its executor.
    Executor(usize, StreamFault),
    /// Whether the runs of an agent's executor fail.
    Fails(usize, bool),
    /// Whether an agent's executor ignores calls.
    Silent(usize, bool),
    /// Whether an agent's executor delays calls and does not answer them.
    Late(usize, bool),
    /// Fraction of calls whose answers an agent's executor loses.
    LosesAnswers(usize, f64),
    /// Fraction of starts that an agent's executor rejects, and the status.
    Rejects(usize, f64, StatusCode),
    /// Maximum delay of calls and answers of an agent's executor.
    Delays(usize, Duration),
    /// Restarts an agent's executor as this instance.
    Crash(usize, String),
    /// Fault of the store itself, and whether it is on.
    StoreFault(StoreFault, bool),
    /// Publishes a new configuration.
    Publish,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreFault {
    Down,
    RefusesWrites,
    TruncatesHistory,
}

/// Generates the steps of a seed, ordered by time.
pub(crate) fn generate(seed: u64, entries: usize, agents: usize) -> Vec<(Duration, Step)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(SERIES) {
        let kind = rng.random_range(0..13);
        let process = rng.random_range(0..entries + agents);
        let gap = rng.random_range(100..2_000);
        let start = rng.random_range(0..START_WINDOW_MS);
        for repeat in 0..rng.random_range(FAULTS_PER_SERIES) {
            let at = start + repeat * gap;
            let until = at + rng.random_range(FAULT_MS);
            let fault = generate_fault(&mut rng, kind, process, entries, agents);
            steps.extend(fault.into_iter().map(|(step, when)| match when {
                Timing::Begin => (at, step),
                Timing::End => (until, step),
                Timing::Stopped => (at + RESTART_DELAY_MS, step),
            }));
        }
    }
    in_order(steps)
}

/// Generates the steps of a seed, and overlapping series of faults of calls to the executors.
pub(crate) fn generate_with_call_faults(
    seed: u64,
    entries: usize,
    agents: usize,
) -> Vec<(Duration, Step)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ CALL_FAULTS_SEED);
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(CALL_SERIES) {
        let kind = rng.random_range(0..3);
        let gap = rng.random_range(100..2_000);
        let start = rng.random_range(0..START_WINDOW_MS);
        for repeat in 0..rng.random_range(CALL_FAULTS_PER_SERIES) {
            let at = start + repeat * gap;
            let until = at + rng.random_range(FAULT_MS);
            let fraction = rng.random_range(0.1..0.7);
            let status = REJECTIONS[rng.random_range(0..REJECTIONS.len())];
            let delay = Duration::from_millis(rng.random_range(5..150));
            for agent in 0..agents {
                if rng.random_bool(CALL_FAULT_SPREAD) {
                    let (begin, end) = match kind {
                        0 => (Step::LosesAnswers(agent, fraction), Step::LosesAnswers(agent, 0.0)),
                        1 => (
                            Step::Rejects(agent, fraction, status),
                            Step::Rejects(agent, 0.0, status),
                        ),
                        _ => (Step::Delays(agent, delay), Step::Delays(agent, Duration::ZERO)),
                    };
                    steps.extend([(at, begin), (until, end)]);
                }
            }
        }
    }
    let mut steps = in_order(steps);
    steps.extend(generate(seed, entries, agents));
    steps.sort_by_key(|it| it.0);
    steps
}

fn in_order(mut steps: Vec<(u64, Step)>) -> Vec<(Duration, Step)> {
    steps.sort_by_key(|it| it.0);
    steps.into_iter().map(|(at, step)| (Duration::from_millis(at), step)).collect()
}

/// Generates rates of the executors' clocks, in parts per thousand.
pub(crate) fn clock_rates(seed: u64) -> impl Iterator<Item = u64> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    std::iter::repeat_with(move || rng.random_range(CLOCK_RATES))
}

/// Time at which a step of a fault is due.
enum Timing {
    Begin,
    End,
    /// After the time that a process may take to stop.
    Stopped,
}

fn generate_fault(
    rng: &mut SmallRng,
    kind: u32,
    process: usize,
    entries: usize,
    agents: usize,
) -> Vec<(Step, Timing)> {
    let entry = process % entries;
    let agent = process % agents;
    let temporary = |begin, end| vec![(begin, Timing::Begin), (end, Timing::End)];
    match kind {
        0 => temporary(Step::Kill(process), Step::Start(process)),
        1 | 2 => temporary(
            Step::Signal(process, Signal::SIGSTOP),
            Step::Signal(process, Signal::SIGCONT),
        ),
        3 => vec![
            (Step::Signal(process, Signal::SIGTERM), Timing::Begin),
            (Step::Start(process), Timing::Stopped),
        ],
        4 => vec![(Step::Signal(process, Signal::SIGHUP), Timing::Begin)],
        5 | 6 => {
            let fault = random_datagram_fault(rng);
            temporary(
                Step::Datagrams(process, fault),
                Step::Datagrams(process, DatagramFault::None),
            )
        }
        7 => temporary(
            Step::Callers(entry, random_stream_fault(rng)),
            Step::Callers(entry, StreamFault::None),
        ),
        8 => temporary(
            Step::Store(process, random_stream_fault(rng)),
            Step::Store(process, StreamFault::None),
        ),
        9 => temporary(
            Step::Executor(agent, random_stream_fault(rng)),
            Step::Executor(agent, StreamFault::None),
        ),
        10 => match rng.random_range(0..4) {
            0 => temporary(Step::Fails(agent, true), Step::Fails(agent, false)),
            1 => temporary(Step::Silent(agent, true), Step::Silent(agent, false)),
            2 => temporary(Step::Late(agent, true), Step::Late(agent, false)),
            _ => vec![(Step::Crash(agent, format!("i-{:x}", rng.next_u32())), Timing::Begin)],
        },
        11 => {
            let faults =
                [StoreFault::Down, StoreFault::RefusesWrites, StoreFault::TruncatesHistory];
            let fault = faults[rng.random_range(0..faults.len())];
            temporary(Step::StoreFault(fault, true), Step::StoreFault(fault, false))
        }
        _ => vec![(Step::Publish, Timing::Begin)],
    }
}

fn random_datagram_fault(rng: &mut SmallRng) -> DatagramFault {
    match rng.random_range(0..5) {
        0 => DatagramFault::Lossy(rng.random_range(0.05..0.6)),
        1 => DatagramFault::Slow(Duration::from_millis(rng.random_range(5..400))),
        2 => DatagramFault::InboundCut,
        3 => DatagramFault::OutboundCut,
        _ => DatagramFault::Cut,
    }
}

fn random_stream_fault(rng: &mut SmallRng) -> StreamFault {
    match rng.random_range(0..5) {
        0 => StreamFault::Slow(Duration::from_millis(rng.random_range(1..200))),
        1 => StreamFault::Silent,
        2 => StreamFault::ToServerCut,
        3 => StreamFault::ToClientCut,
        _ => StreamFault::Reset,
    }
}
