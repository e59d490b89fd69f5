//! The endpoint that an agent serves.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use endpoint::{Executed, Executor, StartError, Worker};
use ident::{Group, RequestId};
use node::{Event, ExecToken, LinkError, TaskToken};
use register::State;
use tokio::time::Instant;
use verdict::Answer;
use wire::{Run, StartTask};

use crate::{mailbox::Mailbox, shared::Shared, spawner::Spawner};

/// Connections to an endpoint that is not in the inventory.
const DEFAULT_CONNECTIONS: usize = 60;

/// Runs requests and tasks on an agent's endpoint.
pub(crate) struct Endpoint {
    name: String,
    client: Client,
    connections: usize,
    running: HashMap<TaskToken, TaskId>,
    mailbox: Mailbox,
    shared: Arc<Shared>,
    spawner: Spawner,
}

/// Name and address of an agent's endpoint.
pub(crate) struct EndpointOptions {
    /// Name in the inventory.
    pub(crate) name: String,
    /// Group that it belongs to.
    pub(crate) group: Group,
    /// Address.
    pub(crate) address: SocketAddr,
}

/// Client of an endpoint.
enum Client {
    /// Client of an executor.
    Executor(Executor),
    /// Client of a worker.
    Worker(Worker),
}

/// Identifies a task on the worker.
#[derive(Debug, Clone, Copy)]
struct TaskId {
    job: RequestId,
    index: u32,
}

impl Endpoint {
    /// Creates a client of the endpoint; it connects with the first request.
    pub(crate) fn new(
        options: EndpointOptions,
        mailbox: Mailbox,
        shared: Arc<Shared>,
        spawner: Spawner,
    ) -> Endpoint {
        let EndpointOptions { name, group, address } = options;
        let connections = DEFAULT_CONNECTIONS;
        let client = Client::new(&group, address, connections);
        let running = HashMap::new();
        Endpoint { name, client, connections, running, mailbox, shared, spawner }
    }

    /// Sets the number of connections to the one in the inventory.
    pub(crate) fn configure(&mut self, state: &State) {
        let Some(config) = &state.config else { return };
        let inventory = &config.inventory;
        let configured = match &self.client {
            Client::Executor(_) => inventory.executor(&self.name).map(|it| it.connections),
            Client::Worker(_) => inventory.worker(&self.name).map(|it| it.cores),
        };
        let connections = configured.map_or(DEFAULT_CONNECTIONS, |it| it as usize);
        if connections != self.connections {
            self.connections = connections;
            self.client.set_connections(connections);
        }
    }

    /// Runs a request on the executor, unless `timeout` passes before it can be sent.
    pub(crate) fn execute(&self, token: ExecToken, run: Run, timeout: Duration) {
        let Client::Executor(executor) = &self.client else {
            self.mailbox.send(not_executed(token));
            return;
        };
        let executor = executor.clone();
        let mailbox = self.mailbox.clone();
        let shared = Arc::clone(&self.shared);
        let deadline = Instant::now() + timeout;
        shared.start_run();
        self.spawner.spawn(async move {
            // The process may have been paused since the core decided.
            let left = deadline.saturating_duration_since(Instant::now());
            let event = match left.is_zero() {
                true => not_executed(token),
                false => {
                    let Executed { result, took } = executor.run(&run, left).await;
                    Event::Executed { token, result, took }
                }
            };
            shared.end_run();
            mailbox.send(event);
        });
    }

    /// Starts a task on the worker, unless its lease or budget ends before it can be sent.
    pub(crate) fn start_task(&mut self, token: TaskToken, task: StartTask) {
        let Client::Worker(worker) = &self.client else {
            self.mailbox.send(not_started(token));
            return;
        };
        self.running.insert(token, TaskId { job: task.job, index: task.index });
        let worker = worker.clone();
        let mailbox = self.mailbox.clone();
        let shared = Arc::clone(&self.shared);
        let began = Instant::now();
        shared.start_run();
        self.spawner.spawn(async move {
            // The process may have been paused since the core decided.
            let late = began.elapsed() >= task.lease.min(task.budget);
            let event = match late {
                true => not_started(token),
                false => {
                    let result = start(&worker, &task).await;
                    Event::TaskEnded { token, result, took: began.elapsed() }
                }
            };
            shared.end_run();
            mailbox.send(event);
        });
    }

    /// Renews a task's lease.
    pub(crate) fn renew_task(&self, token: TaskToken, lease: Duration) {
        let Some((worker, TaskId { job, index })) = self.running_task(token) else { return };
        self.spawner.spawn(async move {
            if let Err(err) = worker.renew(job, index, lease).await {
                log::debug!("cannot renew the lease of task {index} of {job}: {err}");
            }
        });
    }

    /// Stops a task with a checkpoint, or without one if that fails.
    pub(crate) fn stop_task(&self, token: TaskToken) {
        let Some((worker, TaskId { job, index })) = self.running_task(token) else { return };
        self.spawner.spawn(async move {
            if worker.checkpoint(job, index).await.is_ok() {
                return;
            }
            if let Err(err) = worker.stop(job, index).await {
                log::debug!("cannot stop task {index} of {job}: {err}");
            }
        });
    }

    /// Removes a task that has ended.
    pub(crate) fn end_task(&mut self, token: TaskToken) {
        self.running.remove(&token);
    }

    fn running_task(&self, token: TaskToken) -> Option<(Worker, TaskId)> {
        let task = self.running.get(&token)?;
        match &self.client {
            Client::Worker(worker) => Some((worker.clone(), *task)),
            Client::Executor(_) => None,
        }
    }
}

async fn start(worker: &Worker, task: &StartTask) -> Result<Answer, LinkError> {
    let result = worker.start(task).await;
    if let Err(StartError::Refused(reason)) = &result {
        log::info!("worker refused task {} of {}: {reason}", task.index, task.job);
    }
    result.map_err(LinkError::from)
}

/// Event for a request of which no byte was sent.
fn not_executed(token: ExecToken) -> Event {
    Event::Executed { token, result: Err(LinkError::NotSent), took: Duration::ZERO }
}

/// Event for a task of which no byte was sent.
fn not_started(token: TaskToken) -> Event {
    Event::TaskEnded { token, result: Err(LinkError::NotSent), took: Duration::ZERO }
}

impl Client {
    fn new(group: &Group, address: SocketAddr, connections: usize) -> Client {
        match group {
            Group::Service(_) => Client::Executor(Executor::new(address, connections)),
            Group::Workers => Client::Worker(Worker::new(address, connections)),
        }
    }

    /// Changes the number of connections; requests and tasks in progress continue.
    fn set_connections(&self, connections: usize) {
        match self {
            Client::Executor(executor) => executor.set_connections(connections),
            Client::Worker(worker) => worker.set_connections(connections),
        }
    }
}
