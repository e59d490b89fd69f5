//! Stand-in of an executor that doesn't guard its capacity.
//!
//! A task runs for as many ms as its spec says, under the lease that the calls renew. A stop takes
//! 20 ms, for which the run stays listed as running.

use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, Request, call, serve},
    json::Json,
};

/// `maxHoldMs` of the small deployments.
const MAX_HOLD_MS: u64 = 1_000;
/// Time that a stop takes, in ms; `stopTimeoutMs` is 50.
const STOP_MS: u64 = 20;
/// `heartbeatIntervalMs` of the small deployments.
const HEARTBEAT_MS: u64 = 1_500;
/// Ends that one answer lists at most.
const MAX_ENDS: usize = 500;

/// Description of an executor.
#[derive(Debug, Clone)]
pub struct Description {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Heartbeat address of the agent on the same machine.
    pub control: SocketAddr,
    pub cpu: u64,
    pub memory: u64,
    pub labels: Vec<String>,
    /// Unix ms of its start, where executors send it.
    pub born: Option<u64>,
}

/// A run on an executor; times in ms since the start of the case.
#[derive(Debug, Clone)]
pub struct Span {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub from: u64,
    pub to: Option<u64>,
    pub how: &'static str,
}

/// All runs on all executors.
pub type Record = Arc<Mutex<Vec<Span>>>;

/// An executor; clones share its state.
#[derive(Clone)]
pub struct Executor {
    pub description: Description,
    state: Arc<Mutex<State>>,
    record: Record,
    epoch: Instant,
}

struct State {
    started: Instant,
    up: bool,
    draining: bool,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// When one that said `draining` was first acknowledged.
    drain_acknowledged: Option<u64>,
    is_registered: bool,
    token: u64,
    lease: u64,
    running: Vec<Running>,
    finished: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    closed: HashMap<String, u64>,
}

struct Running {
    task: String,
    run: u64,
    from: u64,
    work: u64,
    stops_at: Option<u64>,
    span: usize,
}

impl Executor {
    /// Starts an executor: it serves calls and sends heartbeats until it is stopped.
    pub fn start(
        description: Description,
        epoch: Instant,
        record: &Record,
    ) -> std::io::Result<Executor> {
        let listener = TcpListener::bind(description.address)?;
        let state = State {
            started: Instant::now(),
            up: true,
            draining: false,
            sequence: 0,
            drain_acknowledged: None,
            is_registered: false,
            token: 0,
            lease: 0,
            running: Vec::new(),
            finished: Vec::new(),
            next_end: 1,
            closed: HashMap::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let executor = Executor { description, state, record: Arc::clone(record), epoch };
        let service = executor.clone();
        serve(listener, move |request| service.answer(&request));
        let ticker = executor.clone();
        thread::spawn(move || {
            while ticker.lock().up {
                ticker.advance();
                thread::sleep(Duration::from_millis(2));
            }
        });
        let beats = executor.clone();
        thread::spawn(move || {
            while beats.lock().up {
                beats.beat();
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        Ok(executor)
    }

    /// Deregisters, and ends with everything that runs.
    pub fn leave(&self) {
        let path = format!("/v1/instances/{}", self.description.id);
        let limit = Duration::from_millis(1_000);
        let _ = call(self.description.control, "DELETE", &path, &[], "", limit);
        self.end_all("left");
    }

    /// Crashes: everything that runs ends, and no call is answered any more.
    pub fn crash(&self) {
        self.end_all("crashed");
    }

    fn end_all(&self, how: &'static str) {
        let mut state = self.lock();
        state.up = false;
        let now = self.now();
        let mut record = self.record.lock().unwrap();
        for running in state.running.drain(..) {
            record[running.span].to = Some(now);
            record[running.span].how = how;
        }
    }

    /// Reports `draining` from now on.
    pub fn drain(&self) {
        self.lock().draining = true;
    }

    /// When a heartbeat with the state `draining` was first acknowledged.
    pub fn drain_acknowledged(&self) -> Option<u64> {
        self.lock().drain_acknowledged
    }

    /// Whether a heartbeat was acknowledged.
    pub fn is_registered(&self) -> bool {
        self.lock().is_registered
    }

    /// Sends a heartbeat at once.
    pub fn beat(&self) {
        let (draining, text) = {
            let mut state = self.lock();
            state.sequence += 1;
            let clock = state.started.elapsed().as_millis() as u64;
            let text = beat_text(&self.description, state.draining, clock, state.sequence);
            (state.draining, text)
        };
        let path = format!("/v1/instances/{}", self.description.id);
        let limit = Duration::from_millis(1_000);
        let answer = call(self.description.control, "PUT", &path, &[], &text, limit);
        let mut state = self.lock();
        if answer.is_some_and(|it| it.0 / 100 == 2) {
            state.is_registered = true;
            if draining && state.drain_acknowledged.is_none() {
                state.drain_acknowledged = Some(self.now());
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Time since the start of the case, in ms.
    fn now(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// Ends the runs that are due.
    fn advance(&self) {
        let mut state = self.lock();
        let clock = state.started.elapsed().as_millis() as u64;
        let lapsed = clock >= state.lease;
        let now = self.now();
        let mut ended = Vec::new();
        state.running.retain(|it| {
            let how = if clock >= it.from + it.work {
                "done"
            } else if it.stops_at.is_some_and(|at| clock >= at) {
                "stopped"
            } else if lapsed {
                "lapsed"
            } else {
                return true;
            };
            ended.push((it.task.clone(), it.run, how, it.span));
            false
        });
        for (task, run, how, span) in ended {
            let number = state.next_end;
            state.next_end += 1;
            let closed = state.closed.entry(task.clone()).or_default();
            *closed = run.max(*closed);
            state.finished.push((number, task, run, how));
            let mut record = self.record.lock().unwrap();
            record[span].to = Some(now);
            record[span].how = how;
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        if !self.lock().up {
            return Answer::Close;
        }
        let expected = request.headers.get("primrosemux-expected-instance");
        if expected.is_some_and(|it| *it != self.description.id) {
            return Answer::Response(421, b"{}".to_vec());
        }
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&text) else { return Answer::Response(400, b"{}".to_vec()) };
        self.advance();
        {
            let mut state = self.lock();
            let token = body.number("fencingToken").unwrap_or(0);
            if token < state.token {
                return state.reject("fence");
            }
            state.token = token;
        }
        match request.path.as_str() {
            "/v1/run-start" => self.on_start(&body),
            "/v1/run-stop" => self.on_stop(&body),
            "/v1/hold" => self.on_hold(&body),
            _ => Answer::Response(404, b"{}".to_vec()),
        }
    }

    fn on_start(&self, body: &Json) -> Answer {
        let mut state = self.lock();
        let clock = state.clock();
        let task = body.text("task").unwrap_or_default().to_owned();
        let (run, deadline) =
            (body.number("runId").unwrap_or(0), body.number("deadlineMs").unwrap_or(0));
        if deadline <= clock {
            return state.reject("late");
        }
        state.lease = state.lease.max(deadline.min(clock + MAX_HOLD_MS));
        if state.running.iter().any(|it| it.task == task && it.run == run) {
            return state.accept();
        }
        if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return state.reject("old");
        }
        let spec = body.text("spec").unwrap_or_default();
        let work = spec.parse().unwrap_or(100);
        let mut record = self.record.lock().unwrap();
        let span = record.len();
        record.push(Span {
            executor: self.description.id.clone(),
            task: task.clone(),
            run,
            from: self.now(),
            to: None,
            how: "running",
        });
        state.running.push(Running { task, run, from: clock, work, stops_at: None, span });
        state.accept()
    }

    fn on_stop(&self, body: &Json) -> Answer {
        let mut state = self.lock();
        let clock = state.clock();
        let task = body.text("task").unwrap_or_default();
        let run = body.number("runId").unwrap_or(0);
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
        for running in &mut state.running {
            if running.task == task && running.run == run && running.stops_at.is_none() {
                running.stops_at = Some(clock + STOP_MS);
            }
        }
        state.accept()
    }

    fn on_hold(&self, body: &Json) -> Answer {
        {
            let mut state = self.lock();
            let clock = state.clock();
            if let Some(deadline) = body.number("deadlineMs") {
                state.lease = state.lease.max(deadline.min(clock + MAX_HOLD_MS));
            }
            let cursor = body.number("ackCursor").unwrap_or(0);
            state.finished.retain(|it| it.0 > cursor);
        }
        let wait = body.number("waitMs").unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        while self.lock().finished.is_empty() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
            self.advance();
        }
        let state = self.lock();
        let clock = state.clock();
        let running: Vec<_> = state
            .running
            .iter()
            .map(|it| {
                let percent = (clock - it.from) * 100 / it.work.max(1);
                format!(r#"["{}",{},"",{}]"#, it.task, it.run, percent.min(100))
            })
            .collect();
        let finished: Vec<_> = state
            .finished
            .iter()
            .take(MAX_ENDS)
            .map(|(number, task, run, how)| format!(r#"[{number},"{task}",{run},"{how}",""]"#))
            .collect();
        let born = self.description.born.map(|it| format!(r#""born":{it},"#)).unwrap_or_default();
        let body = format!(
            r#"{{{born}"clockMs":{clock},"running":[{}],"finished":[{}]}}"#,
            running.join(","),
            finished.join(",")
        );
        Answer::Response(200, body.into_bytes())
    }
}

impl State {
    /// The executor's own clock, in ms.
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn accept(&self) -> Answer {
        Answer::Response(200, format!(r#"{{"clockMs":{}}}"#, self.clock()).into_bytes())
    }

    fn reject(&self, reason: &str) -> Answer {
        let body = format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, self.clock());
        Answer::Response(409, body.into_bytes())
    }
}

/// Text of a heartbeat.
pub fn beat_text(it: &Description, draining: bool, clock: u64, sequence: u64) -> String {
    let labels: Vec<_> = it.labels.iter().map(|label| format!(r#""{label}""#)).collect();
    let born = it.born.map(|born| format!(r#""born":{born},"#)).unwrap_or_default();
    let state = if draining { "draining" } else { "ready" };
    format!(
        r#"{{{born}"service":"{}","address":"{}","zone":"suva-a","version":"v1","slots":8,"state":"{state}","coldRemainingMs":0,"capacity":{{"cpu":{},"memoryRequestMb":{},"gpus":0}},"labels":[{}],"clockMs":{clock},"sequence":{sequence}}}"#,
        it.service,
        it.address,
        it.cpu,
        it.memory,
        labels.join(",")
    )
}
