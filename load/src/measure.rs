//! Runs one scenario on one system and measures it.

use std::{sync::Arc, time::Duration};

use config::Inventory;
use eyre::Result;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    scenario::Scenario,
    stats::Stats,
    system::{System, SystemKind, cpu_time},
};

/// Starts a system, runs a scenario on it and returns the measured figures.
pub async fn measure(
    kind: SystemKind,
    scenario: Scenario,
    inventory: &Inventory,
    length: Duration,
    seed: u64,
) -> Result<Stats> {
    let mut system = System::start(kind, inventory, seed).await?;
    let arrivals = scenario.arrival_process(length, seed).arrivals(inventory);
    let team = inventory.teams.first().map(|team| team.name.clone()).unwrap_or_default();
    let client = Arc::new(system.client());
    let (messages, datagrams) = (system.messages(), system.datagrams_per_node());
    let cpu = cpu_time()?;
    let (completed, mut completions) = mpsc::unbounded_channel();
    let start = Instant::now();

    let senders = tokio::spawn(async move {
        for arrival in arrivals {
            let at = start + arrival.at;
            sleep_until(at).await;
            let (client, team, completed) = (Arc::clone(&client), team.clone(), completed.clone());
            tokio::spawn(async move {
                let completion = client.send(&arrival, &team, at).await;
                let _ = completed.send((arrival, completion));
            });
        }
    });
    let mut stats = Stats::new();
    let collector = tokio::spawn(async move {
        while let Some((arrival, completion)) = completions.recv().await {
            stats.add(&arrival, completion);
        }
        stats
    });
    let cancellations = system.inject_fault(scenario, length).await?;
    senders.await?;
    let mut stats = collector.await?;
    for (name, count) in system.messages() {
        let before = messages.get(name).copied().unwrap_or(0);
        stats.messages.insert(name, count - before);
    }
    stats.cancellations = cancellations;
    stats.datagrams = system.datagrams_per_node().saturating_sub(datagrams);
    stats.double_starts = system.double_starts();
    stats.cpu = cpu_time()?.saturating_sub(cpu);
    Ok(stats)
}
