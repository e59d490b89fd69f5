//! Simple baseline dispatchers that send requests directly to executors.
//!
//! Both retry every request whose response is lost, including requests that are
//! not idempotent.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use config::Inventory;
use endpoint::Executor;
use eyre::Result;
use ident::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use standin::executor::{ExecutorOptions, ExecutorServer};
use tokio::{task::JoinHandle, time::sleep};
use wire::Run;

/// Interval between load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum attempts per request.
const MAX_ATTEMPTS: usize = 3;

/// How a baseline chooses an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Uniformly at random.
    Random,
    /// The one with the fewest requests in the latest report, ties at random.
    LeastReported,
}

/// A baseline dispatcher and its executors.
pub struct Baseline {
    /// Executors in the order of the inventory.
    pub executors: Vec<ExecutorServer>,
    shared: Arc<Shared>,
    reporter: JoinHandle<()>,
}

/// Sends requests for a baseline.
#[derive(Clone)]
pub struct Sender {
    shared: Arc<Shared>,
}

struct Shared {
    policy: Policy,
    clients: Vec<Executor>,
    in_flight: Vec<AtomicUsize>,
    reported: Vec<AtomicUsize>,
    messages: AtomicU64,
    rng: Mutex<StdRng>,
}

impl Baseline {
    /// Starts the executors of an inventory.
    pub async fn start(policy: Policy, inventory: &Inventory, seed: u64) -> Result<Baseline> {
        let mut executors = Vec::new();
        let mut clients = Vec::new();
        for executor in &inventory.executors {
            let connections = executor.connections as usize;
            let server = ExecutorServer::start(ExecutorOptions {
                name: executor.name.clone(),
                slots: executor.slots as usize,
                connections,
            });
            let server = server.await?;
            clients.push(Executor::new(server.address(), connections));
            executors.push(server);
        }
        let count = clients.len();
        let shared = Arc::new(Shared {
            policy,
            clients,
            in_flight: (0..count).map(|_| AtomicUsize::new(0)).collect(),
            reported: (0..count).map(|_| AtomicUsize::new(0)).collect(),
            messages: AtomicU64::new(0),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        });
        let reporter = tokio::spawn(report_loads(Arc::clone(&shared)));
        Ok(Baseline { executors, shared, reporter })
    }

    /// Handle that sends requests.
    pub fn sender(&self) -> Sender {
        Sender { shared: Arc::clone(&self.shared) }
    }

    /// Messages exchanged so far on behalf of requests.
    pub fn messages(&self) -> u64 {
        self.shared.messages.load(Ordering::Relaxed)
    }
}

impl Drop for Baseline {
    fn drop(&mut self) {
        self.reporter.abort();
    }
}

impl Sender {
    /// Sends a request until an executor answers without an error, the attempts are
    /// used up or the deadline passes; returns whether one answered.
    pub async fn send(&self, run: &Run) -> bool {
        let deadline = Timestamp::now() + run.budget;
        for _ in 0..MAX_ATTEMPTS {
            let left = deadline.since(Timestamp::now());
            if left.is_zero() {
                return false;
            }
            let timeout = left.min(run.budget / 2);
            if self.attempt(run, timeout).await {
                return true;
            }
        }
        false
    }

    async fn attempt(&self, run: &Run, timeout: Duration) -> bool {
        let index = self.shared.choose();
        self.shared.in_flight[index].fetch_add(1, Ordering::Relaxed);
        let executed = self.shared.clients[index].run(run, timeout).await;
        self.shared.in_flight[index].fetch_sub(1, Ordering::Relaxed);
        let messages = if executed.result.is_ok() { 2 } else { 1 };
        self.shared.messages.fetch_add(messages, Ordering::Relaxed);
        executed.result.is_ok_and(|answer| answer.status < 500)
    }
}

impl Shared {
    fn choose(&self) -> usize {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        match self.policy {
            Policy::Random => rng.random_range(0..self.clients.len()),
            Policy::LeastReported => {
                let load = |index: &usize| self.reported[*index].load(Ordering::Relaxed);
                let least = (0..self.clients.len()).map(|index| load(&index)).min().unwrap_or(0);
                let ties: Vec<usize> =
                    (0..self.clients.len()).filter(|index| load(index) == least).collect();
                ties[rng.random_range(0..ties.len())]
            }
        }
    }
}

async fn report_loads(shared: Arc<Shared>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        for (in_flight, reported) in shared.in_flight.iter().zip(&shared.reported) {
            reported.store(in_flight.load(Ordering::Relaxed), Ordering::Relaxed);
        }
    }
}
