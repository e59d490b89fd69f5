//! Real nodes in one process: time until a version is in force on all of them, their
//! processor time and traffic while idle, and the takeover after a host fails.

use std::{collections::BTreeSet, time::Duration};

use eyre::Result;
use ident::{Group, NodeId, Timestamp};
use journal::LogClient;
use load::{Cluster, ClusterOptions, system::cpu_time};
use register::{Assignment, State};
use tokio::time::{Instant, sleep};

use super::fleet;

/// Numbers of workers to measure.
const WORKERS: [u32; 3] = [10, 20, 40];
const ENTRIES: usize = 3;
/// Changes to publish.
const CHANGES: usize = 10;
/// Duration of the measurement of idle nodes.
const IDLE: Duration = Duration::from_secs(15);
/// Time for the shards of a failed host to get new owners and deputies.
const TAKEOVER: Duration = Duration::from_secs(8);
/// Time limit for a version to come into force on every node.
const LIMIT: Duration = Duration::from_secs(11);

/// Ownership of the workers' shards.
#[derive(Debug, Clone, Copy)]
struct Ownership {
    /// Nodes that own a shard.
    owners: usize,
    /// Shards whose owner does not accept new ids yet.
    closed: usize,
}

/// Prints one row per size.
pub async fn measure(seed: u64) -> Result<()> {
    println!(
        "{:>7} {:>6} {:>15} {:>15} {:>16} {:>16} {:>8} {:>7} {:>7} {:>8} {:>7}",
        "workers",
        "nodes",
        "in force p50 ms",
        "in force max ms",
        "idle core % each",
        "datagrams/s each",
        "appended",
        "owners",
        "closed",
        "of death",
        "changed"
    );
    for workers in WORKERS {
        let mut inventory = fleet::inventory(workers);
        inventory.services.clear();
        inventory.kinds.clear();
        inventory.executors.clear();
        let options = ClusterOptions { inventory: inventory.to_toml(), entries: ENTRIES, seed };
        let mut cluster = Cluster::start(&options).await?;
        let nodes = cluster.nodes();

        let (before, cpu, datagrams) =
            (read_state(&cluster).await?, cpu_time()?, cluster.datagrams());
        sleep(IDLE).await;
        let cpu = cpu_time()?.saturating_sub(cpu);
        let datagrams = cluster.datagrams() - datagrams;
        let after = read_state(&cluster).await?;

        let mut times = measure_publications(&cluster).await?;
        times.sort_unstable();
        let idle = cpu.as_secs_f64() * 100.0 / IDLE.as_secs_f64() / nodes as f64;
        let rate = datagrams as f64 / IDLE.as_secs_f64() / nodes as f64;
        let appended = after.next_offset - before.next_offset;
        let (appended_after_kill, changed) = kill_host(&mut cluster).await?;
        let Ownership { owners, closed } = Ownership::of(&after, Timestamp::now());
        println!(
            "{workers:>7} {nodes:>6} {:>15} {:>15} {idle:>16.2} {rate:>16.1} {appended:>8} \
             {owners:>7} {closed:>7} {appended_after_kill:>8} {changed:>7}",
            times[CHANGES / 2].as_millis(),
            times[CHANGES - 1].as_millis()
        );
        cluster.stop().await;
    }
    Ok(())
}

/// Reads the state from the log.
async fn read_state(cluster: &Cluster) -> Result<State> {
    let journal = LogClient::new(cluster.log.address());
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

impl Ownership {
    fn of(state: &State, now: Timestamp) -> Ownership {
        let shards: Vec<&Assignment> =
            state.table.group(&Group::Workers).map(|(_, assignment)| assignment).collect();
        let (closed, owned): (Vec<&Assignment>, Vec<&Assignment>) =
            shards.into_iter().partition(|it| it.from > now);
        let owners: BTreeSet<NodeId> = owned.iter().map(|it| it.owner).collect();
        Ownership { owners: owners.len(), closed: closed.len() }
    }
}

/// Kills a host; returns the number of records appended and of shards reassigned
/// after that.
async fn kill_host(cluster: &mut Cluster) -> Result<(u64, usize)> {
    let before = read_state(cluster).await?;
    cluster.hosts[0].kill();
    sleep(TAKEOVER).await;
    let after = read_state(cluster).await?;
    let changed = after.table.group(&Group::Workers).filter(|(shard, assignment)| {
        let earlier = before.table.get(&Group::Workers, *shard);
        earlier.is_none_or(|it| it.epoch != assignment.epoch)
    });
    Ok((after.next_offset - before.next_offset, changed.count()))
}

/// Publishes changes; returns the time from each publication until it is in force on
/// every node.
async fn measure_publications(cluster: &Cluster) -> Result<Vec<Duration>> {
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
