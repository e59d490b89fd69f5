//! Generates the faults of a seed.

use std::{ops::Range, time::Duration};

use nix::sys::signal::Signal;
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

use crate::proxy::{Delivery, Link};

/// Time within which series of faults begin, in ms.
const LENGTH_MS: u64 = 9_000;
/// Number of series of faults in a plan.
const SERIES: Range<usize> = 5..14;
/// Number of consecutive faults in a series.
const REPEATS: Range<u64> = 1..4;
/// Duration of a fault, in ms.
const LASTS_MS: Range<u64> = 50..3_000;
/// Delay before a stopped process is started again, in ms; a process has 6 s to stop.
const STOP_MS: u64 = 6_500;
/// Rates of the executors' clocks, in parts per thousand.
const CLOCK_RATES: Range<u64> = 980..1_021;

/// One change to the deployment.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Step {
    Signal(usize, Signal),
    Kill(usize),
    Start(usize),
    /// Fault of the datagrams of a process.
    Datagrams(usize, Delivery),
    /// Fault of the connections of callers to an entry.
    Callers(usize, Link),
    /// Fault of the connections of a process to the store.
    Store(usize, Link),
    /// Fault of the connections of an agent to its executor.
    Calls(usize, Link),
    Fails(usize, bool),
    Silent(usize, bool),
    Late(usize, bool),
    Crash(usize, String),
    StoreFault(StoreFault, bool),
    Publish,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreFault {
    Down,
    RefusesWrites,
    ForgetsHistory,
}

/// Generates the steps of a seed, ordered by time.
pub(crate) fn draw(seed: u64, entries: usize, agents: usize) -> Vec<(Duration, Step)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(SERIES) {
        let kind = rng.random_range(0..13);
        let process = rng.random_range(0..entries + agents);
        let gap = rng.random_range(100..2_000);
        let start = rng.random_range(0..LENGTH_MS);
        for repeat in 0..rng.random_range(REPEATS) {
            let at = start + repeat * gap;
            let until = at + rng.random_range(LASTS_MS);
            let fault = draw_fault(&mut rng, kind, process, entries, agents);
            steps.extend(fault.into_iter().map(|(step, when)| match when {
                When::Begin => (at, step),
                When::End => (until, step),
                When::Stopped => (at + STOP_MS, step),
            }));
        }
    }
    steps.sort_by_key(|it| it.0);
    steps.into_iter().map(|(at, step)| (Duration::from_millis(at), step)).collect()
}

/// Generates rates of the executors' clocks, in parts per thousand.
pub(crate) fn clock_rates(seed: u64) -> impl Iterator<Item = u64> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    std::iter::repeat_with(move || rng.random_range(CLOCK_RATES))
}

/// When a step of a fault is due.
enum When {
    Begin,
    End,
    /// After the time that a process may take to stop.
    Stopped,
}

fn draw_fault(
    rng: &mut SmallRng,
    kind: u32,
    process: usize,
    entries: usize,
    agents: usize,
) -> Vec<(Step, When)> {
    let entry = process % entries;
    let agent = process % agents;
    let lasting = |begin, end| vec![(begin, When::Begin), (end, When::End)];
    match kind {
        0 => lasting(Step::Kill(process), Step::Start(process)),
        1 | 2 => {
            lasting(Step::Signal(process, Signal::SIGSTOP), Step::Signal(process, Signal::SIGCONT))
        }
        3 => vec![
            (Step::Signal(process, Signal::SIGTERM), When::Begin),
            (Step::Start(process), When::Stopped),
        ],
        4 => vec![(Step::Signal(process, Signal::SIGHUP), When::Begin)],
        5 | 6 => {
            let delivery = draw_delivery(rng);
            lasting(Step::Datagrams(process, delivery), Step::Datagrams(process, Delivery::Clear))
        }
        7 => lasting(Step::Callers(entry, draw_link(rng)), Step::Callers(entry, Link::Clear)),
        8 => lasting(Step::Store(process, draw_link(rng)), Step::Store(process, Link::Clear)),
        9 => lasting(Step::Calls(agent, draw_link(rng)), Step::Calls(agent, Link::Clear)),
        10 => match rng.random_range(0..4) {
            0 => lasting(Step::Fails(agent, true), Step::Fails(agent, false)),
            1 => lasting(Step::Silent(agent, true), Step::Silent(agent, false)),
            2 => lasting(Step::Late(agent, true), Step::Late(agent, false)),
            _ => vec![(Step::Crash(agent, format!("i-{:x}", rng.next_u32())), When::Begin)],
        },
        11 => {
            let faults = [StoreFault::Down, StoreFault::RefusesWrites, StoreFault::ForgetsHistory];
            let fault = faults[rng.random_range(0..faults.len())];
            lasting(Step::StoreFault(fault, true), Step::StoreFault(fault, false))
        }
        _ => vec![(Step::Publish, When::Begin)],
    }
}

fn draw_delivery(rng: &mut SmallRng) -> Delivery {
    match rng.random_range(0..5) {
        0 => Delivery::Lossy(rng.random_range(0.05..0.6)),
        1 => Delivery::Slow(Duration::from_millis(rng.random_range(5..400))),
        2 => Delivery::ReceivesNothing,
        3 => Delivery::SendsNothing,
        _ => Delivery::Cut,
    }
}

fn draw_link(rng: &mut SmallRng) -> Link {
    match rng.random_range(0..5) {
        0 => Link::Slow(Duration::from_millis(rng.random_range(1..200))),
        1 => Link::Silent,
        2 => Link::ToServerCut,
        3 => Link::ToClientCut,
        _ => Link::Reset,
    }
}
