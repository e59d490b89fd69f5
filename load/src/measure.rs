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
    system::{Kind, System, cpu_time},
    tally::Tally,
};

/// Starts a system, runs a scenario on it and returns the measured figures.
pub async fn measure(
    kind: Kind,
    scenario: Scenario,
    inventory: &Inventory,
    length: Duration,
    seed: u64,
) -> Result<Tally> {
    let mut system = System::start(kind, inventory, seed).await?;
    let arrivals = scenario.shape(length, seed).arrivals(inventory);
    let team = inventory.teams.first().map(|team| team.name.clone()).unwrap_or_default();
    let client = Arc::new(system.client());
    let (messages, datagrams) = (system.messages(), system.datagrams_per_node());
    let cpu = cpu_time()?;
    let (ended, mut endings) = mpsc::unbounded_channel();
    let start = Instant::now();

    let senders = tokio::spawn(async move {
        for arrival in arrivals {
            let at = start + arrival.at;
            sleep_until(at).await;
            let (client, team, ended) = (Arc::clone(&client), team.clone(), ended.clone());
            tokio::spawn(async move {
                let ending = client.send(&arrival, &team, at).await;
                let _ = ended.send((arrival, ending));
            });
        }
    });
    let mut tally = Tally::new();
    let collector = tokio::spawn(async move {
        while let Some((arrival, ending)) = endings.recv().await {
            tally.add(&arrival, ending);
        }
        tally
    });
    let cancellations = system.disturb(scenario, length).await?;
    senders.await?;
    let mut tally = collector.await?;
    for (name, count) in system.messages() {
        let before = messages.get(name).copied().unwrap_or(0);
        tally.messages.insert(name, count - before);
    }
    tally.cancellations = cancellations;
    tally.datagrams = system.datagrams_per_node().saturating_sub(datagrams);
    tally.double_starts = system.double_starts();
    tally.cpu = cpu_time()?.saturating_sub(cpu);
    Ok(tally)
}
