//! `primrosemux-load policies`: scheduling policies of entries on the same arrivals.
//!
//! The model drives the production cores of entries and agents. The policies differ in the
//! order of waiting jobs, the longest predicted wait with which a job is admitted, and whether
//! jobs wait at entries or agents.

use std::path::Path;

use broker::{Policy, QueueOrder};
use eyre::{Result, ensure, eyre};
use model::{KindReport, Load, Report, Simulation, SimulationOptions};
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};

use super::placement::placement;
use crate::cli::Policies;

/// Default loads, in percent of the capacity.
pub(crate) const DEFAULT_LOADS: [u32; 4] = [60, 80, 100, 130];
/// Default number of entries.
const DEFAULT_ENTRIES: usize = 3;
/// Capacity of an endpoint, in thousandths of a core.
const ENDPOINT_MILLICORES: u32 = 64_000;
/// Wait that admits every job, in percent of the time until the latest start.
const UNLIMITED_WAIT_PERCENT: u64 = 1_000_000;
/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 500);

/// Figures of a policy at one load, as means over the seeds.
#[derive(Debug, Clone, Copy, Default)]
struct Row {
    in_time: f64,
    late: f64,
    refused_early: f64,
    refused_late: f64,
    failed: f64,
    worst_kind: f64,
    of_bound: f64,
}

/// Compares all policies and prints a table; draws a plot if `--report` is given.
pub fn policies(args: &Policies) -> Result<()> {
    if args.placement {
        return placement(args);
    }
    ensure!(args.endpoints > 0, "--endpoints is 0; at least 1 is needed");
    ensure!(args.entries != Some(0), "--entries is 0; at least 1 is needed");
    ensure!(args.seeds > 0, "--seeds is 0; at least 1 is needed");
    let loads = if args.load.is_empty() { DEFAULT_LOADS.to_vec() } else { args.load.clone() };
    println!(
        "{:<22} {:>5} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9}",
        "policy", "load", "in time", "late", "early", "refused", "failed", "worst", "of bound"
    );
    let mut lines = Vec::new();
    for (name, policy) in named_policies() {
        let mut points = Vec::new();
        for load in &loads {
            let row = run_seeds(args, *load, policy);
            println!(
                "{name:<22} {load:>4}% {:>8.3} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>9.3}",
                row.in_time,
                row.late,
                row.refused_early,
                row.refused_late,
                row.failed,
                row.worst_kind,
                row.of_bound
            );
            points.push((f64::from(*load), row.of_bound));
        }
        lines.push((name, points));
    }
    println!("early: refused within a quarter of the objective; refused: later than that;");
    println!("worst: smallest share in time of any kind; of bound: worth in time");
    println!("as a share of an upper bound computed with all jobs known in advance.");
    match &args.report {
        Some(path) => plot(path, &loads, &lines),
        None => Ok(()),
    }
}

/// Policies by name; the first is the default policy.
fn named_policies() -> [(&'static str, Policy); 6] {
    let default = Policy::default();
    let long = Policy { base_wait: 100, congested_wait: 100, ..default };
    let unlimited = Policy {
        base_wait: UNLIMITED_WAIT_PERCENT,
        congested_wait: UNLIMITED_WAIT_PERCENT,
        ..default
    };
    [
        ("ships", default),
        ("waits at agents", Policy { agent_wait: 60, ..default }),
        ("short waits", Policy { base_wait: 12, ..default }),
        ("long waits", long),
        ("latest start, all", unlimited),
        ("first come, all", Policy { order: QueueOrder::Fifo, ..unlimited }),
    ]
}

/// Runs the model with every seed at one load.
fn run_seeds(args: &Policies, load: u32, policy: Policy) -> Row {
    let mut row = Row::default();
    let seeds = args.seeds as f64;
    for seed in 1..=args.seeds {
        let report = Simulation::new(options(args, load, seed, policy)).run();
        let sent: u64 = report.kinds.iter().map(|it| it.sent).sum();
        let share = |count: fn(&KindReport) -> u64| {
            report.kinds.iter().map(count).sum::<u64>() as f64 / sent.max(1) as f64 / seeds
        };
        row.in_time += share(|it| it.in_time);
        row.late += share(|it| it.late);
        row.refused_early += share(|it| it.refused_early);
        row.refused_late += share(|it| it.refused_late);
        row.failed += share(|it| it.failed);
        row.worst_kind += worst_kind(&report) / seeds;
        row.of_bound += report.weighted.in_time / report.weighted.bound / seeds;
    }
    row
}

fn worst_kind(report: &Report) -> f64 {
    report.kinds.iter().map(KindReport::share_in_time).fold(1.0, f64::min)
}

fn options(args: &Policies, load: u32, seed: u64, policy: Policy) -> SimulationOptions {
    let demand = args.endpoints as f64 * f64::from(ENDPOINT_MILLICORES) * f64::from(load) / 100.0;
    let load = Load::of_three_kinds(demand);
    let endpoints = vec![ENDPOINT_MILLICORES; args.endpoints];
    let entries = args.entries.unwrap_or(DEFAULT_ENTRIES);
    let options = SimulationOptions::new(seed, entries, endpoints, load, args.seconds * 1_000);
    SimulationOptions { policy, ..options }
}

/// Draws the share of the bound that each policy reaches, by load.
fn plot(path: &Path, loads: &[u32], lines: &[(&str, Vec<(f64, f64)>)]) -> Result<()> {
    let plot_error = |cause: String| eyre!("the plot {} cannot be drawn: {cause}", path.display());
    let least = loads.iter().copied().min().map_or(0.0, f64::from);
    let most = loads.iter().copied().max().map_or(100.0, f64::from).max(least + 1.0);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|err| plot_error(err.to_string()))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Worth in time, as a share of the bound", ("sans-serif", 20).into_font())
        .margin(15)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(least..most, 0.0..1.0)
        .map_err(|err| plot_error(err.to_string()))?;
    chart
        .configure_mesh()
        .x_desc("load, % of the capacity")
        .draw()
        .map_err(|err| plot_error(err.to_string()))?;
    for (number, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(number);
        let series = LineSeries::new(points.iter().copied(), &color);
        let legend = Palette99::pick(number);
        chart
            .draw_series(series)
            .map_err(|err| plot_error(err.to_string()))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], &legend));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(|err| plot_error(err.to_string()))?;
    area.present().map_err(|err| plot_error(err.to_string()))
}
