//! `primrosemux-load compare`: response times, missed deadlines and messages of each system.

use std::{fs, time::Duration};

use config::Inventory;
use eyre::{Result, WrapErr};
use load::{central, measure::measure, scenario::Scenario, stats::Stats, system::SystemKind};

use crate::cli::Compare;

/// Runs each scenario on each system and prints a table.
pub async fn compare(args: &Compare) -> Result<()> {
    let path = &args.inventory;
    let text = fs::read_to_string(path).wrap_err_with(|| format!("reading {path}"))?;
    let mut inventory = Inventory::parse(&text).wrap_err_with(|| format!("checking {path}"))?;
    inventory.workers.clear();
    let scenarios = match args.scenario.is_empty() {
        true => Scenario::ALL.to_vec(),
        false => args.scenario.clone(),
    };
    let systems = match args.system.is_empty() {
        true => SystemKind::ALL.to_vec(),
        false => args.system.clone(),
    };
    println!(
        "{:<15} {:<15} {:>6} {:>6} {:>6} {:>7} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7}",
        "scenario",
        "system",
        "sent",
        "p50",
        "p99",
        "p99.9",
        "missed‰",
        "wasted%",
        "notrun",
        "mayrun",
        "double",
        "cpu µs"
    );
    for scenario in scenarios {
        let length = Duration::from_secs(args.seconds);
        let slots = inventory.executors.iter().map(|executor| executor.slots).sum();
        let arrivals = scenario.arrival_process(length, args.seed).arrivals(&inventory);
        print_row(scenario, "all-knowing", &central::simulate(&arrivals, slots));
        for kind in systems.iter().copied() {
            let stats = measure(kind, scenario, &inventory, length, args.seed).await?;
            print_row(scenario, kind.name(), &stats);
        }
    }
    Ok(())
}

fn print_row(scenario: Scenario, system: &str, stats: &Stats) {
    let cpu = stats.cpu.as_micros() as u64 / stats.sent.max(1);
    println!(
        "{:<15} {:<15} {:>6} {:>6.3} {:>6.3} {:>7.3} {:>8.2} {:>8.2} {:>7} {:>7} {:>7} {:>7}",
        scenario.name(),
        system,
        stats.sent,
        stats.ratio(0.5),
        stats.ratio(0.99),
        stats.ratio(0.999),
        stats.missed_per_mille(),
        stats.wasted_percent(),
        stats.not_run,
        stats.may_have_run,
        stats.double_starts,
        cpu,
    );
    let classes = stats
        .classes
        .iter()
        .map(|(name, class)| format!("{name} {}/{}", class.missed, class.feasible));
    let messages = stats.messages.iter().filter(|(_, count)| **count > 0);
    let messages = messages.map(|(name, count)| format!("{name} {count}"));
    println!(
        "{:<15}   missed by class: {}; datagrams a node: {}; messages: {}",
        "",
        classes.collect::<Vec<String>>().join(", "),
        stats.datagrams,
        messages.collect::<Vec<String>>().join(", ")
    );
}
