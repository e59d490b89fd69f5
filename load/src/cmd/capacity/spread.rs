//! Real nodes in one process: time until a version is in force on all of them,
//! and what they cost while idle.

use std::{collections::BTreeSet, time::Duration};

use eyre::Result;
use ident::{Group, NodeId, Timestamp};
use journal::Journal;
use load::{Cluster, Plan, system::cpu_time};
use register::{Assignment, State};
use tokio::time::{Instant, sleep};

use super::fleet;

/// Sizes that are compared.
const WORKERS: [u32; 3] = [10, 20, 40];
const ENTRIES: usize = 3;
/// Changes that are published.
const CHANGES: usize = 10;
/// Time that idle nodes are watched.
const IDLE: Duration = Duration::from_secs(20);
/// Time in which a version must be in force everywhere.
const LIMIT: Duration = Duration::from_secs(11);

/// Who decides for the shards.
#[derive(Debug, Clone, Copy)]
struct Owners {
    /// Nodes that own a shard.
    owners: usize,
    /// Shards for which nobody decides.
    vacant: usize,
}

/// Prints a row for each size.
pub async fn measure(seed: u64) -> Result<()> {
    println!(
        "{:>7} {:>6} {:>15} {:>15} {:>16} {:>16} {:>8} {:>7} {:>7}",
        "workers",
        "nodes",
        "in force p50 ms",
        "in force max ms",
        "idle core % each",
        "datagrams/s each",
        "appended",
        "owners",
        "vacant"
    );
    for workers in WORKERS {
        let mut inventory = fleet::inventory(workers);
        inventory.services.clear();
        inventory.kinds.clear();
        inventory.executors.clear();
        let plan = Plan { inventory: inventory.to_toml(), entries: ENTRIES, seed };
        let cluster = Cluster::start(&plan).await?;
        let nodes = cluster.nodes();

        let (before, cpu, datagrams) = (follow(&cluster).await?, cpu_time()?, cluster.datagrams());
        sleep(IDLE).await;
        let cpu = cpu_time()?.saturating_sub(cpu);
        let datagrams = cluster.datagrams() - datagrams;
        let after = follow(&cluster).await?;

        let mut times = publish(&cluster).await?;
        times.sort_unstable();
        let idle = cpu.as_secs_f64() * 100.0 / IDLE.as_secs_f64() / nodes as f64;
        let rate = datagrams as f64 / IDLE.as_secs_f64() / nodes as f64;
        let appended = after.next_offset - before.next_offset;
        let Owners { owners, vacant } = Owners::of(&after);
        println!(
            "{workers:>7} {nodes:>6} {:>15} {:>15} {idle:>16.2} {rate:>16.1} {appended:>8} \
             {owners:>7} {vacant:>7}",
            times[CHANGES / 2].as_millis(),
            times[CHANGES - 1].as_millis()
        );
        cluster.stop().await;
    }
    Ok(())
}

/// State by the records of the log.
async fn follow(cluster: &Cluster) -> Result<State> {
    let journal = Journal::new(cluster.log.address());
    let mut state = State::default();
    loop {
        let page = journal.read(state.next_offset.max(1), Duration::ZERO).await?;
        for entry in &page.entries {
            if let Some(record) = &entry.record {
                state.apply(entry.offset, record);
            }
        }
        state.skip_to(page.next);
        if page.reaches_end() {
            return Ok(state);
        }
    }
}

impl Owners {
    fn of(state: &State) -> Owners {
        let shards: Vec<&Assignment> =
            state.table.group(&Group::Workers).map(|(_, assignment)| assignment).collect();
        let (vacant, owned): (Vec<&Assignment>, Vec<&Assignment>) =
            shards.into_iter().partition(|it| it.from == Timestamp::MAX);
        let owners: BTreeSet<NodeId> = owned.iter().map(|it| it.owner).collect();
        Owners { owners: owners.len(), vacant: vacant.len() }
    }
}

/// Times from the publication of each change until it is in force everywhere.
async fn publish(cluster: &Cluster) -> Result<Vec<Duration>> {
    let mut inventory = cluster.inventory()?;
    let mut base = cluster.version();
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        inventory.teams[0].burst -= 1;
        let began = Instant::now();
        base = cluster.publish(base, &inventory.to_toml()).await?;
        cluster.wait_in_force(base, LIMIT).await?;
        times.push(began.elapsed());
    }
    Ok(times)
}
