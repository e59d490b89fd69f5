//! Simulated executors and workers, which run requests and tasks for the agents.

use std::{collections::HashMap, time::Duration};

use ident::{NodeId, RequestId, Timestamp};
use node::{Event, ExecToken, LinkError, TaskToken};
use verdict::Answer;
use wire::{Run, StartTask};

use crate::{World, script::Fault, world::SimEvent};

/// Time until a failing endpoint answers.
const FAIL_TIME: Duration = Duration::from_millis(1);

/// Factor by which a slow endpoint extends run times.
const SLOW_FACTOR: u32 = 10;

/// State of all endpoints, with every start so far.
#[derive(Default)]
pub(crate) struct Endpoints {
    pub starts: Vec<Start>,
    faults: HashMap<NodeId, Fault>,
    running: HashMap<u64, Running>,
    last_run: u64,
}

/// One start on an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Start {
    pub at: Timestamp,
    pub node: NodeId,
    pub id: RequestId,
    pub task: Option<u32>,
    /// When the run ended; `None` while it runs.
    pub ended: Option<Timestamp>,
}

/// Request of an agent to run a request or task.
#[derive(Debug)]
struct StartRequest {
    node: NodeId,
    waiter: Waiter,
    id: RequestId,
    task: Option<u32>,
    run_time: Duration,
    body: Vec<u8>,
    timeout: Duration,
}

#[derive(Debug, Clone)]
struct Running {
    /// Index in `Endpoints::starts`.
    index: usize,
    node: NodeId,
    waiter: Waiter,
    result: Result<Answer, LinkError>,
    started: Timestamp,
    lease_ends: Option<Timestamp>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Waiter {
    Executor(ExecToken),
    Worker(TaskToken),
    /// The agent has restarted; nothing awaits the result.
    None,
}

impl Endpoints {
    pub fn set_fault(&mut self, node: NodeId, fault: Fault) {
        self.faults.insert(node, fault);
    }

    pub fn kill_host(&mut self, node: NodeId, now: Timestamp) {
        let here = self.running.iter().filter(|(_, running)| running.node == node);
        let here: Vec<u64> = here.map(|(run, _)| *run).collect();
        for run in here {
            self.end(run, now);
        }
    }

    fn end(&mut self, run: u64, now: Timestamp) -> Option<Running> {
        let running = self.running.remove(&run)?;
        self.starts[running.index].ended = Some(now);
        Some(running)
    }

    pub fn clear_waiters(&mut self, node: NodeId) {
        for running in self.running.values_mut().filter(|running| running.node == node) {
            running.waiter = Waiter::None;
        }
    }

    fn fault(&self, node: NodeId) -> Fault {
        self.faults.get(&node).copied().unwrap_or(Fault::None)
    }
}

impl World {
    pub(crate) fn on_execute(
        &mut self,
        node: NodeId,
        token: ExecToken,
        run: &Run,
        timeout: Duration,
    ) {
        let run_time = run_time(&run.body);
        let body = run.id.to_string().into_bytes();
        let request = StartRequest {
            node,
            waiter: Waiter::Executor(token),
            id: run.id,
            task: None,
            run_time,
            body,
            timeout,
        };
        self.start(request);
    }

    pub(crate) fn on_start_task(&mut self, node: NodeId, token: TaskToken, start: &StartTask) {
        let run_time = run_time(start.task.body.as_bytes());
        let body = format!("\"{}-{}\"", start.job, start.index).into_bytes();
        let timeout = start.budget + Duration::from_secs(5);
        let waiter = Waiter::Worker(token);
        let task = Some(start.index);
        let request = StartRequest { node, waiter, id: start.job, task, run_time, body, timeout };
        if let Some(run) = self.start(request) {
            self.set_lease(run, start.lease);
        }
    }

    pub(crate) fn on_renew_task(&mut self, node: NodeId, token: TaskToken, lease: Duration) {
        if let Some(run) = self.find_task(node, token) {
            self.set_lease(run, lease);
        }
    }

    pub(crate) fn on_stop_task(&mut self, node: NodeId, token: TaskToken) {
        if let Some(run) = self.find_task(node, token) {
            self.end_task(run);
        }
    }

    pub(crate) fn on_finish(&mut self, run: u64) {
        let Some(running) = self.endpoints.end(run, self.now) else { return };
        let took = self.now.since(running.started);
        self.notify(running.node, running.waiter, running.result, took);
    }

    pub(crate) fn on_check_lease(&mut self, run: u64) {
        let Some(running) = self.endpoints.running.get(&run) else { return };
        if running.lease_ends.is_some_and(|at| at <= self.now) {
            self.end_task(run);
        }
    }

    fn start(&mut self, request: StartRequest) -> Option<u64> {
        let StartRequest { node, waiter, id, task, run_time, body, timeout } = request;
        let fault = self.endpoints.fault(node);
        if fault == Fault::Down {
            self.notify(node, waiter, Err(LinkError::NotSent), Duration::ZERO);
            return None;
        }
        self.endpoints.starts.push(Start { at: self.now, node, id, task, ended: None });
        let index = self.endpoints.starts.len() - 1;
        let answer = |status| Ok(Answer { status, body: body.clone() });
        let (after, result) = match fault {
            Fault::None => (run_time, answer(200)),
            Fault::Slow => (run_time * SLOW_FACTOR, answer(200)),
            Fault::FailAll => (FAIL_TIME, answer(500)),
            Fault::Silent | Fault::Down => (timeout, Err(LinkError::Lost)),
        };
        let (after, result) = match after > timeout {
            true => (timeout, Err(LinkError::Lost)),
            false => (after, result),
        };
        self.endpoints.last_run += 1;
        let run = self.endpoints.last_run;
        let started = self.now;
        let running = Running { index, node, waiter, result, started, lease_ends: None };
        self.endpoints.running.insert(run, running);
        self.schedule(after, SimEvent::Finish(run));
        Some(run)
    }

    fn set_lease(&mut self, run: u64, lease: Duration) {
        let ends = self.now + lease;
        if let Some(running) = self.endpoints.running.get_mut(&run) {
            running.lease_ends = Some(ends);
            self.schedule(lease, SimEvent::CheckLease(run));
        }
    }

    fn find_task(&self, node: NodeId, token: TaskToken) -> Option<u64> {
        let waiter = Waiter::Worker(token);
        let running = self.endpoints.running.iter();
        let found = running.filter(|(_, it)| it.node == node && it.waiter == waiter);
        found.map(|(run, _)| *run).next()
    }

    fn end_task(&mut self, run: u64) {
        let Some(running) = self.endpoints.end(run, self.now) else { return };
        let took = self.now.since(running.started);
        self.notify(running.node, running.waiter, Err(LinkError::Lost), took);
    }

    fn notify(
        &mut self,
        node: NodeId,
        waiter: Waiter,
        result: Result<Answer, LinkError>,
        took: Duration,
    ) {
        let event = match waiter {
            Waiter::Executor(token) => Event::Executed { token, result, took },
            Waiter::Worker(token) => Event::TaskEnded { token, result, took },
            Waiter::None => return,
        };
        self.schedule(Duration::ZERO, SimEvent::Deliver { node, event });
    }
}

/// Run time given by the body of a request, which holds it in milliseconds.
fn run_time(body: &[u8]) -> Duration {
    let text = std::str::from_utf8(body).unwrap_or_default();
    Duration::from_millis(text.parse().unwrap_or_default())
}
