//! A complete system in one process.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use config::Inventory;
use eyre::{Result, WrapErr, eyre};
use front::Limits;
use hyper::Method;
use ident::{Group, NodeId};
use intake::Shares;
use journal::LogClient;
use node::NodeStatus;
use primrosemuxd::{
    AgentListeners, AgentOptions, EntryListeners, EntryOptions, NodeHandle, start_agent,
    start_entry,
};
use register::{Record, State};
use standin::{
    executor::{ExecutorOptions, ExecutorServer},
    log::LogServer,
    worker::{WorkerOptions, WorkerServer},
};
use tokio::time::sleep;
use uuid::Uuid;

use crate::Caller;

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Connections that a worker accepts.
const WORKER_CONNECTIONS: usize = 512;

/// Delay of the usage figures that a worker reports.
const USAGE_LAG: Duration = Duration::from_secs(1);

/// Time for owners to receive answers from their deputies.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Megabytes per gigabyte.
const MB_PER_GB: u32 = 1024;

/// Types of messages that carry requests, jobs and their answers.
const MESSAGE_TYPES: [&str; 14] = [
    "run",
    "execute",
    "cancel",
    "ask",
    "await",
    "submit",
    "ask_job",
    "start_task",
    "renew_tasks",
    "stop_tasks",
    "run_reply",
    "status_reply",
    "job_reply",
    "task_reply",
];

/// Types of datagrams.
const DATAGRAM_TYPES: [&str; 6] =
    ["heartbeat", "load", "heartbeat_ack", "gossip", "promise_request", "promise"];

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// What to start in a [`Cluster`].
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Inventory in TOML; each of its endpoints is started with an agent.
    pub inventory: String,
    /// Number of entries.
    pub entries: usize,
    /// Seed of the nodes' random generators.
    pub seed: u64,
}

/// A running system.
pub struct Cluster {
    /// The platform's log.
    pub log: LogServer,
    /// Entries in the order of their start.
    pub entries: Vec<NodeHandle>,
    /// Agents with their endpoints, in the order of the inventory.
    pub hosts: Vec<Host>,
    journal: LogClient,
    text: String,
    seed: u64,
}

/// An agent with its endpoint.
pub struct Host {
    /// Name of the endpoint.
    pub name: String,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The agent; `None` once it has been stopped.
    pub agent: Option<NodeHandle>,
    options: AgentOptions,
}

/// An endpoint of either kind.
pub enum Endpoint {
    /// Serves requests.
    Executor(ExecutorServer),
    /// Runs the tasks of jobs.
    Worker(WorkerServer),
}

impl Cluster {
    /// Starts all nodes and waits until every shard has an owner.
    pub async fn start(options: &ClusterOptions) -> Result<Cluster> {
        let inventory = Inventory::parse(&options.inventory).wrap_err("checking the inventory")?;
        let log = LogServer::start().await?;
        let journal = LogClient::new(log.address());
        let mut cluster = Cluster {
            log,
            entries: Vec::new(),
            hosts: Vec::new(),
            journal,
            text: options.inventory.clone(),
            seed: options.seed,
        };
        cluster.start_entries(&inventory, options.entries).await?;
        cluster.start_executors(&inventory).await?;
        cluster.start_workers(&inventory).await?;
        cluster.publish(0, &options.inventory).await?;
        cluster.wait_until_owned(&inventory).await?;
        Ok(cluster)
    }

    /// Publishes an inventory that was edited from version `base`.
    pub async fn publish(&self, base: u64, text: &str) -> Result<u64> {
        let record = Record::Config { record: Uuid::new_v4(), base, text: text.to_owned() };
        self.journal.append_checked(&record, base).await.wrap_err("publishing the inventory")
    }

    /// Waits until `version` is in force on every node.
    pub async fn wait_in_force(&self, version: u64, limit: Duration) -> Result<()> {
        wait_until(limit, || self.versions().all(|it| it >= version))
            .await
            .ok_or_else(|| eyre!("version {version} is not in force everywhere in {limit:?}"))
    }

    /// Version in force on the first entry.
    pub fn version(&self) -> u64 {
        self.entries.first().map_or(0, NodeHandle::version)
    }

    /// Inventory with which the system was started.
    pub fn inventory(&self) -> Result<Inventory> {
        Inventory::parse(&self.text).wrap_err("checking the inventory")
    }

    /// Messages between nodes so far, on behalf of requests and jobs, by type.
    pub fn messages(&self) -> BTreeMap<&'static str, u64> {
        let agents = self.hosts.iter().filter_map(|host| host.agent.as_ref());
        let mut counts = BTreeMap::new();
        for node in self.entries.iter().chain(agents) {
            add_counts(&node.metrics(), &MESSAGE_TYPES, &mut counts);
        }
        counts
    }

    /// Datagrams for membership and load so far.
    pub fn datagrams(&self) -> u64 {
        let agents = self.hosts.iter().filter_map(|host| host.agent.as_ref());
        let nodes = self.entries.iter().chain(agents);
        let mut counts = BTreeMap::new();
        for node in nodes {
            add_counts(&node.metrics(), &DATAGRAM_TYPES, &mut counts);
        }
        counts.values().sum()
    }

    /// Number of running nodes.
    pub fn nodes(&self) -> usize {
        self.entries.len() + self.hosts.iter().filter(|host| host.agent.is_some()).count()
    }

    /// Host of the endpoint with the given name.
    pub fn host(&mut self, name: &str) -> Result<&mut Host> {
        let host = self.hosts.iter_mut().find(|host| host.name == name);
        host.ok_or_else(|| eyre!("no endpoint is called {name:?}"))
    }

    /// Requests and tasks that were started more than once.
    pub fn double_starts(&self) -> usize {
        let counts = self.hosts.iter().map(|host| match &host.endpoint {
            Endpoint::Executor(executor) => executor.double_runs().len(),
            Endpoint::Worker(worker) => worker.double_starts().len(),
        });
        counts.sum()
    }

    /// Stops every node gracefully; returns whether none had to abort work.
    pub async fn stop(mut self) -> bool {
        let mut clean = true;
        for entry in &mut self.entries {
            clean &= entry.stop().await;
        }
        for host in &mut self.hosts {
            clean &= host.stop().await;
        }
        clean
    }

    fn versions(&self) -> impl Iterator<Item = u64> {
        let agents = self.hosts.iter().filter_map(|host| host.agent.as_ref());
        self.entries.iter().chain(agents).map(NodeHandle::version)
    }

    fn seeds(&self) -> Vec<NodeId> {
        self.entries.iter().map(NodeHandle::node).collect()
    }

    fn next_seed(&mut self) -> u64 {
        self.seed += 1;
        self.seed
    }

    async fn start_entries(&mut self, inventory: &Inventory, count: usize) -> Result<()> {
        let zones = &inventory.availability_zones;
        let mut listeners = Vec::new();
        for _ in 0..count {
            listeners.push(EntryListeners::bind_any(LOOPBACK).await?);
        }
        let seeds: Vec<NodeId> = listeners.iter().map(|it| it.node.node()).collect();
        for (index, listeners) in listeners.into_iter().enumerate() {
            let options = EntryOptions {
                availability_zone: zones[index % zones.len()].name.clone(),
                log: self.log.address(),
                seeds: seeds.clone(),
                limits: Limits::default(),
                shares: Shares::default(),
                seed: self.next_seed(),
            };
            self.entries.push(start_entry(options, listeners).await?);
        }
        Ok(())
    }

    async fn start_executors(&mut self, inventory: &Inventory) -> Result<()> {
        for executor in &inventory.executors {
            let server = ExecutorServer::start(ExecutorOptions {
                name: executor.name.clone(),
                slots: executor.slots as usize,
                connections: executor.connections as usize,
            });
            let server = server.await?;
            let options = AgentOptions {
                name: executor.name.clone(),
                group: Group::Service(executor.service.clone()),
                endpoint: server.address(),
                availability_zone: executor.availability_zone.clone(),
                log: self.log.address(),
                seeds: self.seeds(),
                shares: Shares::default(),
                seed: self.next_seed(),
            };
            self.add_host(Endpoint::Executor(server), options).await?;
        }
        Ok(())
    }

    async fn start_workers(&mut self, inventory: &Inventory) -> Result<()> {
        for worker in &inventory.workers {
            let zone = inventory.rack_zone(&worker.rack).unwrap_or_default();
            let server = WorkerServer::start(WorkerOptions {
                name: worker.name.clone(),
                cores: worker.cores,
                memory_mb: worker.memory_gb * MB_PER_GB,
                accelerators: worker.accelerators,
                connections: WORKER_CONNECTIONS,
                usage_lag: USAGE_LAG,
            });
            let server = server.await?;
            let options = AgentOptions {
                name: worker.name.clone(),
                group: Group::Workers,
                endpoint: server.address(),
                availability_zone: zone.to_owned(),
                log: self.log.address(),
                seeds: self.seeds(),
                shares: Shares::default(),
                seed: self.next_seed(),
            };
            self.add_host(Endpoint::Worker(server), options).await?;
        }
        Ok(())
    }

    async fn add_host(&mut self, endpoint: Endpoint, options: AgentOptions) -> Result<()> {
        let listeners = AgentListeners::bind_any(LOOPBACK).await?;
        let agent = start_agent(options.clone(), listeners).await?;
        let name = options.name.clone();
        self.hosts.push(Host { name, endpoint, agent: Some(agent), options });
        Ok(())
    }

    async fn wait_until_owned(&self, inventory: &Inventory) -> Result<()> {
        const LIMIT: Duration = Duration::from_secs(30);
        let mut groups: Vec<Group> =
            inventory.services.iter().map(|it| Group::Service(it.name.clone())).collect();
        if !inventory.workers.is_empty() {
            groups.push(Group::Workers);
        }
        let mut state = State::default();
        for _ in 0..LIMIT.as_millis() / POLL_INTERVAL.as_millis() {
            self.apply_records(&mut state).await?;
            let complete = groups.iter().all(|group| state.table.is_complete(group));
            if complete && self.has_applied(state.next_offset).await? {
                sleep(SETTLE_TIME).await;
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(eyre!("not every shard has an owner after {LIMIT:?}"))
    }

    /// Applies the log records that `state` lacks.
    async fn apply_records(&self, state: &mut State) -> Result<()> {
        let from = state.next_offset.max(1);
        let page = self.journal.read(from, Duration::ZERO).await.wrap_err("reading the log")?;
        for item in &page.entries {
            if let Some(record) = &item.record {
                state.apply(item.offset, record);
            }
        }
        Ok(())
    }

    /// Whether the first entry and every agent report that they have applied all
    /// records before `offset`.
    async fn has_applied(&self, offset: u64) -> Result<bool> {
        let Some(http) = self.entries.first().and_then(NodeHandle::http_address) else {
            return Ok(false);
        };
        let answer = Caller::new(http).call(Method::GET, "/v1/status").await?;
        let Ok(status) = serde_json::from_slice::<NodeStatus>(&answer.body) else {
            return Ok(false);
        };
        let ready = status.agents.iter().filter(|agent| agent.next_offset >= offset).count();
        Ok(status.next_offset >= offset && ready == self.hosts.len())
    }
}

impl Host {
    /// Stops the agent gracefully; returns whether it did not have to abort work.
    pub async fn stop(&mut self) -> bool {
        match self.agent.take() {
            Some(mut agent) => agent.stop().await,
            None => true,
        }
    }

    /// Stops the agent abruptly, like a crash.
    pub fn kill(&mut self) {
        self.agent = None;
    }

    /// Replaces the agent of the endpoint by a new one at a new address.
    pub async fn restart(&mut self) -> Result<()> {
        self.agent = None;
        let listeners = AgentListeners::bind_any(LOOPBACK).await?;
        self.agent = Some(start_agent(self.options.clone(), listeners).await?);
        Ok(())
    }

    /// Number of requests or tasks that the endpoint has started.
    pub fn starts(&self) -> u32 {
        match &self.endpoint {
            Endpoint::Executor(executor) => executor.total_runs(),
            Endpoint::Worker(worker) => worker.total_starts(),
        }
    }
}

async fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> Option<()> {
    let rounds = limit.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..rounds {
        if holds() {
            return Some(());
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

/// Adds the sent messages of the given types from a node's metrics to `counts`.
fn add_counts(metrics: &str, types: &[&'static str], counts: &mut BTreeMap<&'static str, u64>) {
    let lines = metrics.lines().filter(|line| line.starts_with("primrosemux_messages"));
    for line in lines {
        let found = types.iter().find(|it| line.contains(&format!("=\"{it}\"")));
        let count = line.rsplit(' ').next().and_then(|text| text.parse::<u64>().ok());
        if let (Some(name), Some(count)) = (found, count) {
            *counts.entry(*name).or_default() += count;
        }
    }
}
