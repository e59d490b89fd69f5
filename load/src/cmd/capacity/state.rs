//! The replicated state: its size, the processor time to handle it, and the traffic to
//! distribute the changes of a day.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::Result;
use ident::Timestamp;
use node::Event;
use register::{Record, State};
use uuid::Uuid;
use wire::{Call, CallId, Fetch, Frame, Reply, Snapshot, encode};

use super::{
    cores::{self, Cost},
    fleet::{self, ENTRIES, NEXT_OFFSET, START},
};

/// Numbers of workers to measure.
const WORKERS: [u32; 4] = [10, 100, 400, fleet::FULL_WORKERS];
/// Changes of the configuration per day.
const CHANGES_PER_DAY: usize = 2100;
const SECONDS_PER_DAY: usize = 86_400;
/// Repetitions of each operation.
const ROUNDS: u32 = 20;
/// Bytes of an HTTP read of the log that finds nothing, with its answer.
const EMPTY_POLL_BYTES: usize = 350;
/// Bytes of the length prefix of a frame on a connection.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Sizes of a state, in bytes.
struct Sizes {
    workers: u32,
    agents: usize,
    text: usize,
    record: usize,
    /// Frame with the state for a peer.
    state: usize,
    /// Frame that requests the state.
    fetch: usize,
    /// Offset in a datagram, which announces a change.
    offset: usize,
}

/// Prints sizes, processor times and traffic.
pub fn measure() -> Result<()> {
    println!(
        "{:>7} {:>9} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}",
        "workers",
        "text B",
        "record B",
        "state B",
        "apply ms",
        "parse ms",
        "encode µs",
        "decode ms",
        "entry µs",
        "agent µs"
    );
    let mut sizes = Vec::new();
    for workers in WORKERS {
        sizes.push(measure_size(workers)?);
    }
    print_distribution(&sizes);
    print_invalidation(&sizes);
    Ok(())
}

fn measure_size(workers: u32) -> Result<Sizes> {
    let state = fleet::shared_state(workers)?;
    let text = state.config.as_ref().map(|config| config.text.clone()).unwrap_or_default();
    let record = Record::Config { record: Uuid::from_u128(2), base: 1, text: text.clone() };
    let json = serde_json::to_vec(&record)?;
    let encoded = state.encode();

    let apply = time(|| {
        State::clone(&state).apply(NEXT_OFFSET, &record);
    });
    let parse = time(|| {
        let _ = serde_json::from_slice::<Record>(&json);
    });
    let encoding = time(|| {
        state.encode();
    });
    let decoding = time(|| {
        let _ = State::decode(&encoded);
    });
    let (entry, agent) = adoptions(workers, &state, &record);
    println!(
        "{workers:>7} {:>9} {:>9} {:>9} {:>8.2} {:>8.2} {:>9.1} {:>9.2} {:>9.1} {:>9.1}",
        text.len(),
        json.len(),
        encoded.len(),
        millis(apply),
        millis(parse),
        millis(encoding) * 1e3,
        millis(decoding),
        millis(entry) * 1e3,
        millis(agent) * 1e3
    );
    Ok(Sizes {
        workers,
        agents: fleet::reports(workers).len(),
        text: text.len(),
        record: json.len(),
        state: framed(&reply(&state)),
        fetch: framed(&Frame::Call(CallId(1000), Call::Fetch(Fetch { next_offset: NEXT_OFFSET }))),
        offset: encode(&NEXT_OFFSET).len(),
    })
}

/// Mean time of an entry and an agent to adopt a state with a new version.
fn adoptions(workers: u32, state: &Arc<State>, record: &Record) -> (Duration, Duration) {
    let mut newer = State::clone(state);
    newer.apply(NEXT_OFFSET, record);
    let newer = Arc::new(newer);
    let read_at = START + Duration::from_secs(2);
    let worker = &fleet::reports(workers)[0];
    let (mut entries, mut agents) = (Cost::default(), Cost::default());
    for _ in 0..ROUNDS {
        let event = || Event::State { state: Arc::clone(&newer), read_at };
        cores::entry(0, state, 1).handle(read_at, event(), &mut entries);
        cores::agent(worker, state, 1).handle(read_at, event(), &mut agents);
    }
    (entries.total / ROUNDS, agents.total / ROUNDS)
}

fn print_distribution(sizes: &[Sizes]) {
    println!();
    println!(
        "{:>7} {:>34} {:>12} {:>12} {:>14} {:>14}",
        "workers",
        "way of spreading",
        "B/s an agent",
        "B/s an entry",
        "B/s of the log",
        "changes B"
    );
    for size in sizes {
        let per_s = |bytes: usize| bytes * CHANGES_PER_DAY / SECONDS_PER_DAY;
        let served = size.agents.div_ceil(ENTRIES as usize);
        let change = size.fetch + size.state;
        let read = per_s(size.record) + EMPTY_POLL_BYTES / 2;
        print_distribution_row(
            size,
            "fetched when announced",
            [per_s(change), per_s(change) * served + read, read * ENTRIES as usize, change],
        );
        let polled = per_s(size.record) + EMPTY_POLL_BYTES;
        let nodes = size.agents + ENTRIES as usize;
        print_distribution_row(
            size,
            "log polled every second",
            [polled, polled, polled * nodes, size.record],
        );
        print_distribution_row(
            size,
            "pushed by entries",
            [
                per_s(size.state),
                per_s(size.state) * served + read,
                read * ENTRIES as usize,
                size.state,
            ],
        );
    }
}

fn print_distribution_row(size: &Sizes, name: &str, figures: [usize; 4]) {
    let [agent, entry, log, change] = figures;
    println!("{:>7} {name:>34} {agent:>12} {entry:>12} {log:>14} {change:>14}", size.workers);
}

/// Prints the bytes of an update, and of an invalidation with the following miss.
fn print_invalidation(sizes: &[Sizes]) {
    println!();
    println!(
        "{:>7} {:>12} {:>14} {:>10} {:>10}",
        "workers", "update B", "invalidate B", "miss B", "text B"
    );
    for size in sizes {
        let miss = size.fetch + size.state;
        println!(
            "{:>7} {:>12} {:>14} {:>10} {:>10}",
            size.workers, size.state, size.offset, miss, size.text
        );
    }
}

fn reply(state: &State) -> Frame {
    let snapshot =
        Snapshot { next_offset: state.next_offset, read_at: Timestamp::MAX, state: state.encode() };
    Frame::Reply(CallId(1000), Reply::State(Some(snapshot)))
}

fn framed(frame: &Frame) -> usize {
    encode(frame).len() + LENGTH_PREFIX_BYTES
}

/// Mean time of an operation.
fn time(operation: impl Fn()) -> Duration {
    let began = Instant::now();
    for _ in 0..ROUNDS {
        operation();
    }
    began.elapsed() / ROUNDS
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
