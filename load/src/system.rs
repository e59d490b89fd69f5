//! The systems under comparison.

use std::{
    collections::BTreeMap,
    fs,
    str::FromStr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use config::Inventory;
use eyre::{Result, WrapErr};
use hyper::Method;
use ident::{RequestId, Timestamp};
use standin::executor::{ExecutorServer, Fault};
use tokio::time::sleep;
use verdict::Verdict;
use wire::Run;

use crate::{
    Caller, Cluster, ClusterOptions, Endpoint, Submission,
    baseline::{Baseline, Policy, Sender},
    scenario::Scenario,
    stats::Completion,
    workload::Arrival,
};

/// Factor by which a straggler's run times grow.
const STRAGGLER_FACTOR: u32 = 10;

/// Cancellations per second that callers send.
const CANCELLATIONS_PER_S: u32 = 1000;

/// Clock ticks per second in the processor times of `/proc`.
const CLOCK_TICKS_PER_S: u64 = 100;

/// A system to compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SystemKind {
    /// This project.
    Primrosemux,
    /// Random executor, retrying every request.
    Random,
    /// Executor that last reported the least load, retrying every request.
    LeastReported,
}

impl SystemKind {
    /// Every system, in the order of the report.
    pub const ALL: [SystemKind; 3] =
        [SystemKind::Primrosemux, SystemKind::Random, SystemKind::LeastReported];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            SystemKind::Primrosemux => "primrosemux",
            SystemKind::Random => "random",
            SystemKind::LeastReported => "least-reported",
        }
    }
}

impl FromStr for SystemKind {
    type Err = String;

    fn from_str(s: &str) -> std::result::Result<SystemKind, String> {
        SystemKind::ALL.into_iter().find(|it| it.name() == s).ok_or_else(|| {
            let names: Vec<&str> = SystemKind::ALL.into_iter().map(SystemKind::name).collect();
            format!("{s:?} is not a system; use one of {}", names.join(", "))
        })
    }
}

/// A running system.
pub enum System {
    /// This project.
    Cluster(Box<Cluster>),
    /// A baseline.
    Baseline(Baseline),
}

/// Sends requests to a system.
pub enum Client {
    /// To the entries, round-robin.
    Entries(Vec<Caller>, AtomicUsize),
    /// Directly to executors.
    Baseline(Sender),
}

impl System {
    /// Starts the system for an inventory.
    pub async fn start(kind: SystemKind, inventory: &Inventory, seed: u64) -> Result<System> {
        let policy = match kind {
            SystemKind::Primrosemux => {
                let options = ClusterOptions { inventory: inventory.to_toml(), entries: 3, seed };
                return Ok(System::Cluster(Box::new(Cluster::start(&options).await?)));
            }
            SystemKind::Random => Policy::Random,
            SystemKind::LeastReported => Policy::LeastReported,
        };
        Ok(System::Baseline(Baseline::start(policy, inventory, seed).await?))
    }

    /// Creates a client of the system.
    pub fn client(&self) -> Client {
        match self {
            System::Cluster(cluster) => {
                let entries = cluster.entries.iter().filter_map(|entry| entry.http_address());
                Client::Entries(entries.map(Caller::new).collect(), AtomicUsize::new(0))
            }
            System::Baseline(baseline) => Client::Baseline(baseline.sender()),
        }
    }

    /// Messages between nodes so far, on behalf of requests, by type.
    pub fn messages(&self) -> BTreeMap<&'static str, u64> {
        match self {
            System::Cluster(cluster) => cluster.messages(),
            System::Baseline(baseline) => BTreeMap::from([("http", baseline.messages())]),
        }
    }

    /// Mean number of datagrams sent so far by each running node.
    pub fn datagrams_per_node(&self) -> u64 {
        match self {
            System::Cluster(cluster) => cluster.datagrams() / cluster.nodes().max(1) as u64,
            System::Baseline(_) => 0,
        }
    }

    /// Number of requests that were started more than once.
    pub fn double_starts(&self) -> u64 {
        match self {
            System::Cluster(cluster) => cluster.double_starts() as u64,
            System::Baseline(baseline) => {
                baseline.executors.iter().map(|it| it.double_runs().len() as u64).sum()
            }
        }
    }

    /// Injects the fault of a scenario that lasts for `length`; returns the number of
    /// cancellations sent.
    pub async fn inject_fault(&mut self, scenario: Scenario, length: Duration) -> Result<u64> {
        match scenario {
            Scenario::Steady50
            | Scenario::Steady80
            | Scenario::Steady95
            | Scenario::Burst
            | Scenario::Misdeclared => {}
            Scenario::Straggler => self.set_fault(1, Fault::Straggler(STRAGGLER_FACTOR)),
            Scenario::FailsAll => self.set_fault(1, Fault::FailAll),
            Scenario::ZoneLost => {
                sleep(length / 3).await;
                self.fail_zone();
            }
            Scenario::Silent => {
                sleep(length / 3).await;
                if let Some(executor) = self.executor(1) {
                    executor.silence_connections();
                }
            }
            Scenario::Cancellations => return self.send_cancellations(length).await,
            Scenario::LogOutage => {
                if let System::Cluster(cluster) = self {
                    cluster.log.set_outage(true);
                }
            }
            Scenario::ConfigChanges => self.publish_changes(length).await?,
        }
        Ok(0)
    }

    fn executor(&self, index: usize) -> Option<&ExecutorServer> {
        match self {
            System::Cluster(cluster) => match &cluster.hosts.get(index)?.endpoint {
                Endpoint::Executor(executor) => Some(executor),
                Endpoint::Worker(_) => None,
            },
            System::Baseline(baseline) => baseline.executors.get(index),
        }
    }

    fn set_fault(&self, index: usize, fault: Fault) {
        if let Some(executor) = self.executor(index) {
            executor.set_fault(fault);
        }
    }

    /// Fails every third executor: the inventory assigns executors to its three
    /// availability zones in turn.
    fn fail_zone(&mut self) {
        let mut index = 1;
        while self.executor(index).is_some() {
            self.set_fault(index, Fault::Down);
            if let System::Cluster(cluster) = self {
                cluster.hosts[index].kill();
            }
            index += 3;
        }
    }

    async fn send_cancellations(&self, length: Duration) -> Result<u64> {
        let Client::Entries(callers, _) = self.client() else { return Ok(0) };
        let pause = Duration::from_millis(100);
        let count = CANCELLATIONS_PER_S / 10;
        let rounds = (length.as_millis() / pause.as_millis()) as u64;
        for _ in 0..rounds {
            for _ in 0..count {
                let caller = callers[0].clone();
                let id = RequestId::new(Timestamp::now(), rand::random());
                tokio::spawn(async move {
                    let _ = caller.call(Method::DELETE, &format!("/v1/requests/{id}")).await;
                });
            }
            sleep(pause).await;
        }
        Ok(rounds * u64::from(count))
    }

    async fn publish_changes(&self, length: Duration) -> Result<()> {
        let System::Cluster(cluster) = self else { return Ok(()) };
        let mut inventory = cluster.inventory()?;
        let mut base = cluster.version();
        for _ in 0..length.as_secs() {
            sleep(Duration::from_secs(1)).await;
            for team in &mut inventory.teams {
                team.burst += 1;
            }
            base = cluster.publish(base, &inventory.to_toml()).await?;
        }
        Ok(())
    }
}

impl Client {
    /// Sends a request and waits for its result; `started` is its planned arrival.
    pub async fn send(
        &self,
        arrival: &Arrival,
        team: &str,
        started: tokio::time::Instant,
    ) -> Completion {
        let id = RequestId::new(
            Timestamp::now(),
            *arrival.id.uuid().as_bytes().last_chunk().unwrap_or(&[0; 10]),
        );
        match self {
            Client::Entries(callers, next) => {
                let caller = &callers[next.fetch_add(1, Ordering::Relaxed) % callers.len()];
                let submission = Submission {
                    id: Some(id),
                    service: &arrival.kind.service,
                    kind: &arrival.kind.name,
                    team,
                    deadline: Some(arrival.deadline),
                    declared: Some(arrival.declared),
                    run_time: arrival.run_time,
                };
                let answer = caller.submit(&submission).await;
                let response_time = started.elapsed();
                match answer {
                    Ok(answer) => Completion {
                        verdict: answer.verdict,
                        done: answer.is_done(),
                        response_time,
                    },
                    Err(_) => Completion { verdict: None, done: false, response_time },
                }
            }
            Client::Baseline(sender) => {
                let done = sender.send(&run(arrival, id)).await;
                let verdict = done.then_some(Verdict::Done);
                Completion { verdict, done, response_time: started.elapsed() }
            }
        }
    }
}

fn run(arrival: &Arrival, id: RequestId) -> Run {
    Run {
        id,
        attempt: 0,
        submitted: Timestamp::now(),
        over_quota: false,
        service: arrival.kind.service.clone(),
        kind: arrival.kind.name.clone(),
        team: String::new(),
        budget: arrival.deadline,
        declared: Some(arrival.declared),
        hints: Vec::new(),
        body: format!("{{\"run_ms\":{}}}", arrival.run_time.as_millis()).into_bytes(),
    }
}

/// User and system time of this process.
pub fn cpu_time() -> Result<Duration> {
    const USER_FIELD: usize = 11;
    let text = fs::read_to_string("/proc/self/stat").wrap_err("reading the processor time")?;
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(USER_FIELD).take(2);
    let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
    Ok(Duration::from_millis(ticks * 1000 / CLOCK_TICKS_PER_S))
}
