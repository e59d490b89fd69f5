//! An agent with one entry and one endpoint, both simulated by the test.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use guard::{
    Answer, Call, CallKind, Effect, EndedRun, Event, Guard, Heartbeat, HeartbeatState, Instance,
    Options, RunOutcome, RunningRun, Snapshot, Timing,
};
use mesh::{
    Channel, Command, Crashes, Datagram, EndpointInfo, EntryState, JobId, Notice, Report, RunKey,
    StartOrder, Uptime,
};

/// Capacity of the endpoint, in thousandths of a core.
pub(crate) const CAPACITY: u32 = 1_000;
/// Initial fencing token of the agent.
pub(crate) const TOKEN: u64 = 50;
/// Offset of the endpoint's clock from the agent's, in ms.
const CLOCK_OFFSET_MS: u64 = 90_000;

/// An agent under test.
pub(crate) struct Fixture {
    pub(crate) guard: Guard,
    pub(crate) now: Uptime,
    pub(crate) entry: Channel<Command, Notice>,
    pub(crate) report: Report,
    pub(crate) notices: Vec<Notice>,
    pub(crate) crashes: Vec<Crashes>,
    pub(crate) calls: Vec<(u64, Call)>,
    pub(crate) finished: bool,
}

pub(crate) fn entry_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7_000)
}

pub(crate) fn key(job: u64) -> RunKey {
    RunKey { job: JobId(job), step: 0, index: 0, run: 1 }
}

pub(crate) fn heartbeat(instance: &str, state: HeartbeatState) -> Heartbeat {
    let address: SocketAddr = "10.0.0.2:8000".parse().expect("an address");
    let info = EndpointInfo {
        service: "desk".to_owned(),
        cpu: CAPACITY,
        memory: 1_000,
        ..EndpointInfo::default()
    };
    Heartbeat {
        instance: instance.into(),
        sequence: None,
        address,
        state,
        time_remaining: None,
        cold_remaining: None,
        info,
    }
}

pub(crate) fn order(runs: Vec<RunKey>, cpu: u32, decided: Uptime) -> StartOrder {
    StartOrder {
        runs,
        spec: "work".to_owned(),
        cpu,
        memory: 1,
        gpus: 0,
        expected: 200,
        max_wait: 60,
        decided,
    }
}

impl Fixture {
    /// An agent without an endpoint.
    pub(crate) fn new() -> Fixture {
        let now = Uptime(10_000);
        let options = Options { incarnation: 7, fencing_token: TOKEN, timing: Timing::default() };
        let mut fixture = Fixture {
            guard: Guard::new(now, options),
            now,
            entry: Channel::new(9),
            report: Report::default(),
            notices: Vec::new(),
            crashes: Vec::new(),
            calls: Vec::new(),
            finished: false,
        };
        fixture.probe();
        fixture.probe();
        fixture
    }

    /// An agent whose endpoint is ready for work.
    pub(crate) fn open() -> Fixture {
        let mut fixture = Fixture::new();
        fixture.event(Event::Heartbeat(heartbeat("i-1", HeartbeatState::Ready)));
        fixture.answer_poll(Snapshot::default());
        fixture.calls.clear();
        fixture
    }

    /// Passes an event to the agent and records its effects.
    pub(crate) fn event(&mut self, event: Event) {
        for effect in self.guard.handle(self.now, event) {
            match effect {
                Effect::Call { id, call } => self.calls.push((id, call)),
                Effect::Send { datagram: Datagram::Agent(frame), .. } => {
                    self.report = frame.state.clone();
                    self.notices.extend(self.entry.accept(self.now, frame).items);
                }
                Effect::Send { datagram: Datagram::Crashes(crashes), .. } => {
                    self.crashes.push(crashes);
                }
                Effect::Send { .. } => panic!("an agent sends only reports"),
                Effect::Finished => self.finished = true,
            }
        }
    }

    /// Advances the time by `ms`, with a tick every 10 ms and no frame of the entry.
    pub(crate) fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = self.now + 10;
            self.event(Event::Tick);
        }
    }

    /// Advances the time by `ms`; every 50 ms the endpoint answers with `snapshot` and the entry
    /// probes.
    pub(crate) fn advance_connected(&mut self, ms: u64, snapshot: &Snapshot) {
        let end = self.now + ms;
        while self.now < end {
            self.advance(50);
            self.answer_poll(snapshot.clone());
            self.probe();
        }
    }

    /// Sends a probe of the entry that acknowledges the newest report.
    pub(crate) fn probe(&mut self) {
        self.frame(self.report.now);
    }

    /// Sends a probe of the entry while so much work waits there, in core-milliseconds.
    pub(crate) fn probe_waiting(&mut self, waiting: u32) {
        self.send_state(EntryState { probe: true, waiting, heard: self.report.now });
    }

    /// Sends a probe of the entry that acknowledges the report of the time `heard`.
    pub(crate) fn frame(&mut self, heard: Uptime) {
        self.send_state(EntryState { probe: true, waiting: 0, heard });
    }

    fn send_state(&mut self, state: EntryState) {
        let frame = self.entry.frame(self.now, state);
        self.event(Event::Frame { from: entry_address(), frame });
    }

    /// Sends an order of the entry, decided now.
    pub(crate) fn order(&mut self, runs: Vec<RunKey>, cpu: u32) {
        self.entry.push(Command::Start(order(runs, cpu, self.now)));
        self.probe();
    }

    /// Sends a stop of the entry.
    pub(crate) fn stop(&mut self, runs: Vec<RunKey>) {
        self.entry.push(Command::Stop(runs));
        self.probe();
    }

    /// Calls of a kind that are not answered yet.
    pub(crate) fn unanswered(&self, kind: fn(&CallKind) -> bool) -> Vec<(u64, Call)> {
        self.calls.iter().filter(|(_, call)| kind(&call.kind)).cloned().collect()
    }

    /// Answers the newest call of a kind; earlier polls may have been superseded.
    pub(crate) fn answer(&mut self, kind: fn(&CallKind) -> bool, answer: Answer) -> Call {
        let position = self.calls.iter().rposition(|(_, call)| kind(&call.kind));
        let (id, call) = self.calls.remove(position.expect("a call of the kind"));
        self.event(Event::Answered { id, answer });
        call
    }

    /// Answers the newest poll in flight, if there is one.
    pub(crate) fn answer_poll(&mut self, snapshot: Snapshot) {
        if self.calls.iter().any(|(_, call)| is_poll(&call.kind)) {
            let snapshot = Snapshot { clock: self.clock(), ..snapshot };
            self.answer(is_poll, Answer::Seen(snapshot));
        }
    }

    /// Advances the time by `ms` while no poll reaches the endpoint; the entry goes on probing.
    pub(crate) fn fail_polls(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.advance(10);
            self.probe();
            if self.calls.iter().any(|(_, call)| is_poll(&call.kind)) {
                self.answer(is_poll, Answer::Unsent);
            }
        }
    }

    /// Answers two polls, 10 ms apart, with no runs in progress and none ended.
    pub(crate) fn answer_two_empty_polls(&mut self) {
        for _ in 0..2 {
            self.now = self.now + 10;
            self.answer_poll(Snapshot::default());
        }
    }

    /// Accepts the newest start.
    pub(crate) fn accept_start(&mut self) -> Call {
        let clock = self.clock();
        self.answer(is_start, Answer::Accepted { clock })
    }

    /// Clock of the endpoint, in ms.
    pub(crate) fn clock(&self) -> u64 {
        self.now.0 + CLOCK_OFFSET_MS
    }

    /// Runs whose start is not answered yet.
    pub(crate) fn started(&self) -> Vec<RunKey> {
        let starts = self.unanswered(is_start);
        let key = |call: &Call| match &call.kind {
            CallKind::Start { key, .. } => *key,
            CallKind::Stop { .. } | CallKind::Hold { .. } => panic!("not a start"),
        };
        starts.iter().map(|(_, call)| key(call)).collect()
    }
}

pub(crate) fn is_start(kind: &CallKind) -> bool {
    matches!(kind, CallKind::Start { .. })
}

pub(crate) fn is_stop(kind: &CallKind) -> bool {
    matches!(kind, CallKind::Stop { .. })
}

pub(crate) fn is_poll(kind: &CallKind) -> bool {
    matches!(kind, CallKind::Hold { .. })
}

/// Snapshot with these runs in progress, in percent.
pub(crate) fn running(rows: &[(RunKey, u32)]) -> Snapshot {
    let running = rows.iter().map(|(key, percent)| RunningRun { key: *key, percent: *percent });
    Snapshot { running: running.collect(), ..Snapshot::default() }
}

/// Snapshot with these ended runs, numbered from `first`.
pub(crate) fn ended(first: u64, rows: &[(RunKey, RunOutcome)]) -> Snapshot {
    let ended = (first..).zip(rows).map(|(number, (key, outcome))| EndedRun {
        number,
        key: *key,
        outcome: *outcome,
    });
    Snapshot { ended: ended.collect(), ..Snapshot::default() }
}

/// Instance without a birth time.
pub(crate) fn instance(name: &str) -> Instance {
    name.into()
}

/// Instance with a birth time.
pub(crate) fn born(name: &str, born: u64) -> Instance {
    Instance { id: name.into(), born: Some(born) }
}
