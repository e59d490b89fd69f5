//! `primrosemux-load policies --placement`: where entries of uneven demand place tasks.
//!
//! The model drives the production cores of entries and agents on the fleet of
//! docs/design/hard-load.md.

use std::thread;

use eyre::{Result, ensure};
use model::{KindReport, Report, Simulation, SimulationOptions};

use super::policies::DEFAULT_LOADS;
use crate::cli::Policies;

/// Default numbers of entries.
const DEFAULT_ENTRIES: [usize; 3] = [3, 10, 35];
/// Time before and after the arrivals that the model plays, in s.
const IDLE_S: u64 = 12;

/// Figures of one run, or their means over the seeds.
#[derive(Debug, Clone, Copy, Default)]
struct Row {
    /// Ordered runs that were refused for lack of room, in percent.
    room: f64,
    /// Ordered runs that were refused for another cause, in percent.
    other: f64,
    /// Quantiles of the time from the first submission of a job to its first start, in ms.
    start: [f64; 3],
    in_time: f64,
    late: f64,
    of_bound: f64,
    /// Datagrams per second.
    datagrams: f64,
}

/// Prints a table of the figures by number of entries and load.
pub(crate) fn placement(args: &Policies) -> Result<()> {
    ensure!(args.seeds > 0, "--seeds is 0; at least 1 is needed");
    let loads = if args.load.is_empty() { DEFAULT_LOADS.to_vec() } else { args.load.clone() };
    let entries = args.entries.map_or(DEFAULT_ENTRIES.to_vec(), |it| vec![it]);
    println!(
        "{:>7} {:>5} {:>7} {:>7} {:>6} {:>6} {:>6} {:>8} {:>7} {:>9} {:>10}",
        "entries",
        "load",
        "room %",
        "other %",
        "50 %",
        "90 %",
        "99 %",
        "in time",
        "late",
        "of bound",
        "datagrams"
    );
    for entries in entries {
        for load in &loads {
            let row = run_seeds(args, entries, *load);
            let [median, ninetieth, last] = row.start;
            println!(
                "{entries:>7} {load:>4}% {:>7.2} {:>7.2} {median:>6.1} {ninetieth:>6.1} \
                 {last:>6.1} {:>8.3} {:>7.3} {:>9.3} {:>10.0}",
                row.room, row.other, row.in_time, row.late, row.of_bound, row.datagrams
            );
        }
    }
    println!("room, other: ordered runs refused for lack of room, for another cause;");
    println!("50 %, 90 %, 99 %: time to the first start of a job, in ms; datagrams: per second.");
    Ok(())
}

/// Runs the model with every seed, two at a time.
fn run_seeds(args: &Policies, entries: usize, load: u32) -> Row {
    let seeds: Vec<u64> = (1..=args.seeds).collect();
    let run = |seed: u64| {
        let options = SimulationOptions::of_fleet(seed, entries, load, args.seconds * 1_000);
        Row::new(&Simulation::new(options).run(), args.seconds)
    };
    let mut mean = Row::default();
    for pair in seeds.chunks(2) {
        let rows: Vec<Row> = thread::scope(|scope| {
            let runs: Vec<_> = pair.iter().map(|seed| scope.spawn(|| run(*seed))).collect();
            runs.into_iter().map(|it| it.join().expect("the model does not panic")).collect()
        });
        for row in rows {
            mean.add(&row, args.seeds as f64);
        }
    }
    mean
}

impl Row {
    fn new(report: &Report, seconds: u64) -> Row {
        let orders = report.orders;
        let other = orders.stale + orders.closed + orders.endpoint + orders.stopped;
        let sent: u64 = report.kinds.iter().map(|it| it.sent).sum();
        let late: u64 = report.kinds.iter().map(|it: &KindReport| it.late).sum();
        Row {
            room: 100.0 * orders.room_share(),
            other: 100.0 * other as f64 / orders.ordered.max(1) as f64,
            start: [0.5, 0.9, 0.99].map(|it| report.first_start.value_at_quantile(it) as f64),
            in_time: report.share_in_time(),
            late: late as f64 / sent.max(1) as f64,
            of_bound: report.weighted.in_time / report.weighted.bound,
            datagrams: report.datagrams as f64 / (seconds + IDLE_S) as f64,
        }
    }

    /// Adds a row, divided by `count`.
    fn add(&mut self, row: &Row, count: f64) {
        self.room += row.room / count;
        self.other += row.other / count;
        for (mean, start) in self.start.iter_mut().zip(row.start) {
            *mean += start / count;
        }
        self.in_time += row.in_time / count;
        self.late += row.late / count;
        self.of_bound += row.of_bound / count;
        self.datagrams += row.datagrams / count;
    }
}
