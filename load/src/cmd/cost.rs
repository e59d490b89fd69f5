//! `primrosemux-load cost`: processor time per request.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use config::Inventory;
use eyre::Result;
use ident::{RequestId, Timestamp};
use load::{
    system::{System, SystemKind, cpu_time},
    workload::Arrival,
};
use tokio::time::Instant;

use crate::cli::Cost;

const INVENTORY: &str = include_str!("../../../inventories/harborlift.toml");

/// Sends requests without run time to every system and prints the mean processor time.
pub async fn cost(args: &Cost) -> Result<()> {
    let mut inventory = Inventory::parse(INVENTORY)?;
    inventory.workers.clear();
    for team in &mut inventory.teams {
        team.starts_per_s = 1_000_000;
        team.burst = 1_000_000;
    }
    println!("{:<15} {:>9} {:>12} {:>12}", "system", "requests", "cpu µs each", "per second");
    for kind in SystemKind::ALL {
        let system = System::start(kind, &inventory, 1).await?;
        let client = Arc::new(system.client());
        let left = Arc::new(AtomicU32::new(args.requests));
        let (cpu, start) = (cpu_time()?, Instant::now());
        let callers = (0..args.parallel).map(|_| {
            let (client, left) = (Arc::clone(&client), Arc::clone(&left));
            let arrival = arrival(&inventory);
            let team = inventory.teams[0].name.clone();
            tokio::spawn(async move {
                while left
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |it| it.checked_sub(1))
                    .is_ok()
                {
                    client.send(&arrival, &team, Instant::now()).await;
                }
            })
        });
        for caller in callers.collect::<Vec<_>>() {
            caller.await?;
        }
        let cpu = cpu_time()?.saturating_sub(cpu).as_micros() as u64 / u64::from(args.requests);
        let rate = f64::from(args.requests) / start.elapsed().as_secs_f64();
        println!("{:<15} {:>9} {:>12} {:>12.0}", kind.name(), args.requests, cpu, rate);
    }
    Ok(())
}

fn arrival(inventory: &Inventory) -> Arrival {
    Arrival {
        at: Duration::ZERO,
        kind: inventory.kinds[0].clone(),
        id: RequestId::new(Timestamp::ZERO, rand::random()),
        run_time: Duration::ZERO,
        declared: Duration::from_millis(1),
        deadline: Duration::from_secs(5),
    }
}
