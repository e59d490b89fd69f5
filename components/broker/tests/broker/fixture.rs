//! Test fixture: an entry with simulated agents.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use broker::{
    Broker, Effect, Event, Options, Policy, RUN_EXPIRY_MS, Reply, Route, SETTLE_MS, Step,
    Submission,
};
use mesh::{
    Channel, Command, CrashesSeen, Datagram, End, EndpointInfo, Health, JobId, Notice, Refusal,
    Report, RunKey, Uptime,
};

/// Capacity of an endpoint, in thousandths of a core.
pub(crate) const CAPACITY: u32 = 1_000;

/// An entry under test.
pub(crate) struct Fixture {
    pub(crate) broker: Broker,
    pub(crate) now: Uptime,
    pub(crate) agents: BTreeMap<SocketAddrV4, Agent>,
    pub(crate) answers: Vec<(u64, Reply)>,
    pub(crate) finished: bool,
    pub(crate) crashes_seen: Vec<CrashesSeen>,
    next_request: u64,
}

/// A simulated agent.
pub(crate) struct Agent {
    pub(crate) channel: Channel<Notice, Command>,
    pub(crate) report: Report,
    /// Whether it responds to frames.
    pub(crate) responds: bool,
    /// Runs that it was told to start and not to stop, with their cores in thousandths.
    pub(crate) runs: Vec<(RunKey, u32)>,
    pub(crate) stopped: Vec<RunKey>,
    /// Expected run time in its newest start order, in ms.
    pub(crate) expected: u32,
    /// Work that waits at the entry by its newest frame, in core-milliseconds.
    pub(crate) told_waiting: u32,
    /// Number of probes that were sent to it.
    pub(crate) probes: usize,
}

pub(crate) fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7_000)
}

pub(crate) fn route() -> Arc<Route> {
    Arc::new(Route {
        name: "tickets".to_owned(),
        service: "desk".to_owned(),
        attempts: 2,
        objective_factor: 1.5,
        target: 50,
        ..Route::default()
    })
}

/// A step of `count` tasks with a declared run time of 200 ms.
pub(crate) fn step(count: u16, cpu: u32) -> Step {
    Step { count, cpu, memory: 1, declared: 200, ..Step::default() }
}

pub(crate) fn submission(job: u64, steps: Vec<Step>) -> Submission {
    Submission {
        job: JobId(job),
        request: "r".to_owned(),
        route: route(),
        spec: "work".to_owned(),
        steps,
        timeout: 3_000,
    }
}

fn options(incarnation: u64) -> Options {
    Options {
        incarnation,
        zone: "north".to_owned(),
        seed: 1,
        run_expiry: RUN_EXPIRY_MS,
        remote_percent: None,
        policy: Policy::default(),
    }
}

impl Fixture {
    /// Creates an entry that has heard from `count` agents with idle endpoints.
    pub(crate) fn new(count: u8) -> Fixture {
        let mut fixture = Fixture::starting(count, |_| true);
        fixture.advance(SETTLE_MS);
        fixture
    }

    /// Creates an entry that has just started and knows `count` agents with idle endpoints, of
    /// which those for which `responds` is true respond.
    pub(crate) fn starting(count: u8, responds: impl Fn(u8) -> bool) -> Fixture {
        Fixture::starting_in(count, responds, |_| "north")
    }

    /// Creates an entry as [`Fixture::starting`] does, with agents in several zones.
    pub(crate) fn starting_in(
        count: u8,
        responds: impl Fn(u8) -> bool,
        zone: impl Fn(u8) -> &'static str,
    ) -> Fixture {
        let now = Uptime(10_000);
        let mut fixture = Fixture {
            broker: Broker::new(now, options(7)),
            now,
            agents: BTreeMap::new(),
            answers: Vec::new(),
            finished: false,
            crashes_seen: Vec::new(),
            next_request: 0,
        };
        for last in 1..=count {
            let agent = Agent {
                channel: Channel::new(100 + u64::from(last)),
                report: report(now, CAPACITY),
                responds: responds(last),
                runs: Vec::new(),
                stopped: Vec::new(),
                expected: 0,
                told_waiting: 0,
                probes: 0,
            };
            fixture.agents.insert(address(last), agent);
            fixture.event(Event::Announced { address: address(last), zone: zone(last).to_owned() });
        }
        fixture
    }

    /// Restarts the entry with another incarnation; it knows all agents and has heard none.
    pub(crate) fn restart(&mut self, incarnation: u64) {
        self.broker = Broker::new(self.now, options(incarnation));
        for address in self.agents.keys().copied().collect::<Vec<_>>() {
            self.event(Event::Announced { address, zone: "north".to_owned() });
        }
    }

    /// Handles an event and those that follow from it; agents respond at once.
    pub(crate) fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.broker.handle(self.now, event) {
                match effect {
                    Effect::Answer { request_number, reply } => {
                        self.answers.push((request_number, reply))
                    }
                    Effect::Finished => self.finished = true,
                    Effect::Send { to, datagram: Datagram::Entry(frame) } => {
                        let now = self.now;
                        let agent = self.agents.get_mut(&to).expect("an agent of the test");
                        let probed = frame.state.probe;
                        agent.told_waiting = frame.state.waiting;
                        agent.probes += usize::from(probed);
                        if !agent.responds {
                            continue;
                        }
                        for command in agent.channel.accept(now, frame).items {
                            agent.handle(command);
                        }
                        if probed || agent.channel.is_due(now) {
                            let frame = agent.frame(now);
                            events.push(Event::Frame { from: to, frame });
                        }
                    }
                    Effect::Send { datagram: Datagram::CrashesSeen(seen), .. } => {
                        self.crashes_seen.push(seen);
                    }
                    Effect::Send { .. } => panic!("an entry sends orders only"),
                }
            }
        }
    }

    /// Advances time in ticks of 10 ms.
    pub(crate) fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = self.now + 10;
            self.event(Event::Tick);
        }
    }

    /// Passes on the evacuated zones.
    pub(crate) fn evacuate(&mut self, zones: &[&str]) {
        let zones = zones.iter().map(|it| (*it).to_owned()).collect();
        self.event(Event::Evacuated { zones });
    }

    /// Submits a job; returns the number of the request.
    pub(crate) fn submit(&mut self, submission: Submission) -> u64 {
        self.submit_queued(self.now, submission)
    }

    /// Submits a job that has waited in the queue of the process since `read`; returns the number
    /// of the request.
    pub(crate) fn submit_queued(&mut self, read: Uptime, submission: Submission) -> u64 {
        self.submit_waited(read, read, submission)
    }

    /// Submits a job that arrived at `arrived` and was read at `read`; returns the number of the
    /// request.
    pub(crate) fn submit_waited(
        &mut self,
        arrived: Uptime,
        read: Uptime,
        submission: Submission,
    ) -> u64 {
        self.next_request += 1;
        let request_number = self.next_request;
        self.event(Event::Submit { request_number, arrived, read, submission });
        request_number
    }

    /// Runs at all agents.
    pub(crate) fn runs(&self) -> Vec<(SocketAddrV4, RunKey)> {
        let runs = |(address, agent): (&SocketAddrV4, &Agent)| {
            let address = *address;
            agent.runs.iter().map(move |(key, _)| (address, *key)).collect::<Vec<_>>()
        };
        self.agents.iter().flat_map(runs).collect()
    }

    /// Ends a run and notifies the entry.
    pub(crate) fn end(&mut self, at: SocketAddrV4, key: RunKey, end: End) {
        let notice = Notice::Ended { key, end, took: 200 };
        self.notify(at, key, notice);
    }

    /// Refuses a run and notifies the entry.
    pub(crate) fn refuse(&mut self, at: SocketAddrV4, key: RunKey, refusal: Refusal) {
        let notice = Notice::Refused { key, refusal };
        self.notify(at, key, notice);
    }

    pub(crate) fn notify(&mut self, at: SocketAddrV4, key: RunKey, notice: Notice) {
        let now = self.now;
        let agent = self.agents.get_mut(&at).expect("an agent of the test");
        agent.runs.retain(|(it, _)| *it != key);
        agent.channel.push(notice);
        let frame = agent.frame(now);
        self.event(Event::Frame { from: at, frame });
    }

    /// Ends every run as done.
    pub(crate) fn end_all(&mut self) {
        for (at, key) in self.runs() {
            self.end(at, key, End::Done);
        }
    }

    /// Answer to a request.
    pub(crate) fn answer(&self, request_number: u64) -> Option<Reply> {
        self.answers.iter().find(|(it, _)| *it == request_number).map(|(_, reply)| *reply)
    }
}

impl Agent {
    fn handle(&mut self, command: Command) {
        match command {
            Command::Start(order) => {
                self.expected = order.expected;
                self.runs.extend(order.runs.iter().map(|key| (*key, order.cpu)));
            }
            Command::Stop(keys) => {
                self.runs.retain(|(key, _)| !keys.contains(key));
                self.stopped.extend(keys);
            }
        }
    }

    pub(crate) fn frame(&mut self, now: Uptime) -> mesh::Frame<Notice, Report> {
        // Properties also run tasks that need as much as can be declared.
        let used = self.runs.iter().fold(0_u32, |used, (_, cpu)| used.saturating_add(*cpu));
        self.report.now = now;
        self.report.cpu = CAPACITY.saturating_sub(used);
        self.channel.frame(now, self.report.clone())
    }
}

fn report(now: Uptime, cpu: u32) -> Report {
    let info = EndpointInfo {
        service: "desk".to_owned(),
        cpu: CAPACITY,
        memory: 1_000,
        ..EndpointInfo::default()
    };
    Report {
        now,
        endpoint: Some(info),
        health: Health::Open,
        cpu,
        memory: 1_000,
        gpus: 0,
        slowness: 100,
        waiting: 0,
    }
}
