//! The simulation.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use broker::{Broker, Effect as EntryEffect, Event as EntryEvent, Policy, Reply, Submission};
use guard::{
    Answer, Call, CallKind, Effect as AgentEffect, Event as AgentEvent, Guard, Heartbeat,
    HeartbeatState, Rejection, Timing,
};
use mesh::{Datagram, EndpointInfo, JobId, RunKey, Uptime};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    callers::{Callers, MAX_SENDS, Open, RESEND_MS},
    endpoint::Endpoint,
    fault::{Fault, FaultKind},
    load::{Load, SERVICE, Truths},
    report::{KindReport, Report, Violation, Worth},
    worth::{Answered, worth},
};

/// Time between two ticks of a process, in ms.
const TICK_MS: u64 = 10;
/// Time between two heartbeats of an endpoint, in ms.
const HEARTBEAT_MS: u64 = 1_500;
/// Time of a datagram on its way, in ms.
const DELAY_MS: u64 = 1;
/// Time before callers come, in ms.
const LEAD_MS: u64 = 4_000;
/// Time after callers have stopped coming, in ms.
const TAIL_MS: u64 = 8_000;
/// Memory of an endpoint, in MB.
const MEMORY_MB: u32 = 1_000_000;
/// Port of all processes.
const PORT: u16 = 7_000;

/// What is simulated.
#[derive(Debug, Clone)]
pub struct WorldOptions {
    /// Seed of everything that is left to chance.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Room of each endpoint, in thousandths of a core.
    pub endpoints: Vec<u32>,
    /// Jobs.
    pub load: Load,
    /// Time for which callers come, in ms.
    pub length: u64,
    /// Faults; times count from the first callers.
    pub faults: Vec<Fault>,
    /// Time limits of agents.
    pub timing: Timing,
    /// Time since an agent was last heard after which an entry runs its tasks again, in ms.
    pub runs_over: u64,
    /// How entries decide.
    pub policy: Policy,
    /// Job whose course is told in the report.
    pub trace: Option<JobId>,
}

/// What happens next.
#[derive(Debug)]
enum Event {
    Tick(Host),
    Heartbeat(usize),
    Arrive(usize),
    Send(JobId),
    Submit { entry: usize, job: JobId, token: u64 },
    Gone { entry: usize, token: u64 },
    OutOfPatience { job: JobId, token: u64 },
    Datagram { from: Host, to: Host, datagram: Box<Datagram> },
    Call { agent: usize, life: u64, id: u64, call: Call, answered: bool },
    HoldOver { agent: usize, life: u64, id: u64 },
    Answer { agent: usize, life: u64, id: u64, answer: Answer },
    EndpointDue(usize),
    Strike(usize),
    Heal(usize),
}

/// A process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Host {
    Entry(usize),
    Agent(usize),
}

/// A look that waits for an end.
#[derive(Debug)]
struct Hold {
    agent: usize,
    life: u64,
    id: u64,
}

/// Events of a suspended host, which it handles when it goes on.
type Held = Vec<Event>;

/// A deployment.
#[derive(Debug)]
pub struct World {
    options: WorldOptions,
    rng: SmallRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    entries: Vec<Option<Broker>>,
    agents: Vec<Option<Guard>>,
    lives: Vec<u64>,
    frozen: HashMap<Host, Held>,
    endpoints: Vec<Endpoint>,
    holds: Vec<Hold>,
    due: Vec<u64>,
    callers: Callers,
    truths: Truths,
    next_job: u64,
    /// Jobs of which a run has started, and those whose every try was refused.
    ran: HashSet<JobId>,
    refused: HashSet<JobId>,
    late_calls: f64,
    loss: f64,
    lost_from: HashSet<usize>,
    lost_to: HashSet<usize>,
    answered: HashMap<JobId, Answered>,
    report: Report,
    overlaps: HashSet<(JobId, u16, u16)>,
}

impl World {
    /// A deployment whose processes have just been started.
    pub fn new(options: WorldOptions) -> World {
        let kinds = options.load.kinds.iter().map(|it| KindReport::new(&it.name)).collect();
        let report = Report {
            kinds,
            worth: Worth::default(),
            violations: Vec::new(),
            datagrams: 0,
            calls: 0,
            useful: 0,
            trace: Vec::new(),
        };
        let mut world = World {
            rng: SmallRng::seed_from_u64(options.seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            entries: (0..options.entries).map(|_| None).collect(),
            agents: options.endpoints.iter().map(|_| None).collect(),
            lives: vec![0; options.endpoints.len()],
            frozen: HashMap::new(),
            endpoints: options.endpoints.iter().map(|it| Endpoint::new(*it)).collect(),
            holds: Vec::new(),
            due: vec![u64::MAX; options.endpoints.len()],
            callers: Callers::default(),
            truths: Truths::new(),
            next_job: 1,
            ran: HashSet::new(),
            refused: HashSet::new(),
            late_calls: 0.0,
            loss: 0.0,
            lost_from: HashSet::new(),
            lost_to: HashSet::new(),
            answered: HashMap::new(),
            report,
            overlaps: HashSet::new(),
            options,
        };
        world.set_up();
        world
    }

    /// Plays the whole time and reports.
    pub fn run(mut self) -> Report {
        let end = LEAD_MS + self.options.length + TAIL_MS;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.close();
        self.report
    }

    fn set_up(&mut self) {
        for entry in 0..self.entries.len() {
            self.start_entry(entry);
        }
        for agent in 0..self.agents.len() {
            self.start_agent(agent);
            let first = self.rng.random_range(0..HEARTBEAT_MS);
            self.push(first, Event::Heartbeat(agent));
        }
        for kind in 0..self.options.load.kinds.len() {
            self.push_arrival(kind, LEAD_MS);
        }
        for (number, fault) in self.options.faults.clone().into_iter().enumerate() {
            self.push(LEAD_MS + fault.at, Event::Strike(number));
            self.push(LEAD_MS + fault.at + fault.length, Event::Heal(number));
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    fn push_arrival(&mut self, kind: usize, after: u64) {
        let rate = self.options.load.rate(kind, after.saturating_sub(LEAD_MS));
        if rate <= 0.0 {
            return;
        }
        let pause = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / rate;
        let at = after + pause as u64;
        if at < LEAD_MS + self.options.length {
            self.push(at, Event::Arrive(kind));
        }
    }

    fn start_entry(&mut self, entry: usize) {
        let options = broker::Options {
            incarnation: self.rng.random(),
            zone: String::new(),
            seed: self.rng.random(),
            runs_over: self.options.runs_over,
            policy: self.options.policy,
        };
        let now = Uptime(self.now);
        self.entries[entry] = Some(Broker::new(now, options));
        for agent in 0..self.agents.len() {
            let address = address(Host::Agent(agent));
            self.run_entry(entry, EntryEvent::Agent { address, zone: String::new() });
        }
        self.push(self.now + TICK_MS, Event::Tick(Host::Entry(entry)));
    }

    fn start_agent(&mut self, agent: usize) {
        let options = guard::Options {
            incarnation: self.rng.random(),
            token: self.now + 1,
            timing: self.options.timing,
        };
        self.lives[agent] += 1;
        self.agents[agent] = Some(Guard::new(Uptime(self.now), options));
        self.push(self.now + TICK_MS, Event::Tick(Host::Agent(agent)));
    }

    fn handle(&mut self, event: Event) {
        if let Some(host) = host_of(&event)
            && let Some(held) = self.frozen.get_mut(&host)
        {
            held.push(event);
            return;
        }
        match event {
            Event::Tick(host) => self.on_tick(host),
            Event::Heartbeat(agent) => self.on_heartbeat(agent),
            Event::Arrive(kind) => self.on_arrival(kind),
            Event::Send(job) => self.send_job(job),
            Event::Submit { entry, job, token } => self.on_submit(entry, job, token),
            Event::Gone { entry, token } => self.run_entry(entry, EntryEvent::Gone { token }),
            Event::OutOfPatience { job, token } => self.on_out_of_patience(job, token),
            Event::Datagram { from, to, datagram } => self.on_datagram(from, to, *datagram),
            Event::Call { agent, life, id, call, answered } => {
                self.on_call(agent, life, id, &call, answered);
            }
            Event::HoldOver { agent, life, id } => self.on_hold_over(agent, life, id),
            Event::Answer { agent, life, id, answer } => {
                if self.lives[agent] == life {
                    self.run_agent(agent, AgentEvent::Answered { id, answer });
                }
            }
            Event::EndpointDue(agent) => {
                self.due[agent] = u64::MAX;
                self.check_endpoint(agent);
            }
            Event::Strike(number) => self.strike(self.options.faults[number].kind),
            Event::Heal(number) => self.heal(self.options.faults[number].kind),
        }
    }

    fn on_tick(&mut self, host: Host) {
        match host {
            Host::Entry(entry) if self.entries[entry].is_some() => {
                self.run_entry(entry, EntryEvent::Tick);
            }
            Host::Agent(agent) if self.agents[agent].is_some() => {
                self.run_agent(agent, AgentEvent::Tick);
            }
            Host::Entry(_) | Host::Agent(_) => return,
        }
        self.push(self.now + TICK_MS, Event::Tick(host));
    }

    fn on_heartbeat(&mut self, agent: usize) {
        self.push(self.now + HEARTBEAT_MS, Event::Heartbeat(agent));
        let endpoint = &self.endpoints[agent];
        if !endpoint.alive || self.agents[agent].is_none() {
            return;
        }
        let info = EndpointInfo {
            service: SERVICE.to_owned(),
            cpu: endpoint.capacity,
            memory: MEMORY_MB,
            ..EndpointInfo::default()
        };
        let beat = Heartbeat {
            instance: endpoint.instance.to_string().into(),
            address: SocketAddr::V4(address(Host::Agent(agent))),
            state: HeartbeatState::Ready,
            info,
        };
        self.run_agent(agent, AgentEvent::Heartbeat(beat));
    }

    fn on_arrival(&mut self, kind: usize) {
        self.push_arrival(kind, self.now);
        let job = JobId(self.next_job);
        self.next_job += 1;
        let (submission, truth) = self.options.load.draw(kind, job, &mut self.rng);
        self.truths.insert(job, truth);
        self.report.kinds[kind].sent += 1;
        let open = Open { submission, first: self.now, sends: 0, request: None };
        self.callers.open.insert(job, open);
        self.send_job(job);
    }

    /// Sends a job to an entry at random, or again later if there is none.
    fn send_job(&mut self, job: JobId) {
        let entry = self.rng.random_range(0..self.entries.len());
        let Some(open) = self.callers.open.get_mut(&job) else { return };
        open.sends += 1;
        if open.sends > MAX_SENDS {
            self.finish(job, None);
            return;
        }
        if self.entries[entry].is_none() {
            self.push(self.now + RESEND_MS, Event::Send(job));
            return;
        }
        let patience = open.submission.patience;
        let token = self.callers.next_request(job);
        if let Some(open) = self.callers.open.get_mut(&job) {
            open.request = Some((entry, token));
        }
        self.push(self.now, Event::Submit { entry, job, token });
        self.push(self.now + patience, Event::OutOfPatience { job, token });
    }

    fn on_submit(&mut self, entry: usize, job: JobId, token: u64) {
        let Some(open) = self.callers.open.get(&job) else { return };
        let submission: Submission = open.submission.clone();
        self.trace(job, || format!("sent to entry {entry} as request {token}"));
        self.run_entry(entry, EntryEvent::Submit { token, submission });
    }

    /// A caller breaks its connection off, and sends its job again later.
    fn on_out_of_patience(&mut self, job: JobId, token: u64) {
        let Some(open) = self.callers.open.get_mut(&job) else { return };
        let Some((entry, _)) = open.request.filter(|(_, it)| *it == token) else { return };
        open.request = None;
        self.callers.requests.remove(&token);
        self.push(self.now, Event::Gone { entry, token });
        self.push(self.now + RESEND_MS, Event::Send(job));
    }

    fn on_datagram(&mut self, from: Host, to: Host, datagram: Datagram) {
        match (to, datagram) {
            (Host::Agent(agent), Datagram::Entry(frame)) if self.agents[agent].is_some() => {
                self.run_agent(agent, AgentEvent::Frame { from: address(from), frame });
            }
            (Host::Entry(entry), Datagram::Agent(frame)) if self.entries[entry].is_some() => {
                self.run_entry(entry, EntryEvent::Frame { from: address(from), frame });
            }
            (Host::Agent(_) | Host::Entry(_), _) => {}
        }
    }

    fn send(&mut self, from: Host, to: SocketAddrV4, datagram: Datagram) {
        self.report.datagrams += 1;
        let to = host(to);
        let lost = match (from, to) {
            (Host::Agent(agent), _) => self.lost_from.contains(&agent),
            (_, Host::Agent(agent)) => self.lost_to.contains(&agent),
            (Host::Entry(_), Host::Entry(_)) => true,
        };
        if lost || self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let at = self.now + self.rng.random_range(0..=2 * DELAY_MS);
        self.push(at, Event::Datagram { from, to, datagram: Box::new(datagram) });
    }

    fn run_entry(&mut self, entry: usize, event: EntryEvent) {
        let Some(broker) = &mut self.entries[entry] else { return };
        for effect in broker.handle(Uptime(self.now), event) {
            match effect {
                EntryEffect::Answer { token, reply } => self.on_reply(token, reply),
                EntryEffect::Send { to, datagram } => self.send(Host::Entry(entry), to, datagram),
                EntryEffect::Finished => {}
            }
        }
    }

    fn run_agent(&mut self, agent: usize, event: AgentEvent) {
        let Some(guard) = &mut self.agents[agent] else { return };
        for effect in guard.handle(Uptime(self.now), event) {
            match effect {
                AgentEffect::Call { id, call } => self.call(agent, id, call),
                AgentEffect::Send { to, datagram } => self.send(Host::Agent(agent), to, datagram),
                AgentEffect::Finished => {}
            }
        }
    }

    /// Sends a call to an endpoint, which may carry it out late and without an answer.
    fn call(&mut self, agent: usize, id: u64, call: Call) {
        self.report.calls += 1;
        let life = self.lives[agent];
        let late = self.late_calls > 0.0 && self.rng.random_bool(self.late_calls);
        let answered = !late && !self.endpoints[agent].silent;
        if !answered {
            let limit = guard::CALL_TIMEOUT_MS + wait_of(&call.kind);
            let answer = Answer::Unknown;
            self.push(self.now + limit, Event::Answer { agent, life, id, answer });
        }
        let delay = if late { self.rng.random_range(2_000..12_000) } else { 0 };
        self.push(self.now + delay, Event::Call { agent, life, id, call, answered });
    }

    fn on_call(&mut self, agent: usize, life: u64, id: u64, call: &Call, answered: bool) {
        let endpoint = &mut self.endpoints[agent];
        if endpoint.silent {
            return;
        }
        let answer = if !endpoint.alive {
            Answer::Unsent
        } else if endpoint.instance.to_string() != *call.instance {
            Answer::Rejected(Rejection::Instance)
        } else {
            endpoint.call(self.now, call.token, &call.kind, &self.truths)
        };
        if let CallKind::Start { key, .. } | CallKind::Stop { key } = &call.kind {
            self.trace(key.job, || format!("endpoint {agent}: {:?}: {answer:?}", call.kind));
        }
        if let (CallKind::Start { key, .. }, Answer::Accepted { .. }) = (&call.kind, &answer) {
            self.ran.insert(key.job);
        }
        self.check_endpoint(agent);
        if !answered {
            return;
        }
        let wait = wait_of(&call.kind);
        let news = self.endpoints[agent].has_news();
        if matches!(answer, Answer::Seen(_)) && wait > 0 && !news {
            self.holds.push(Hold { agent, life, id });
            self.push(self.now + wait, Event::HoldOver { agent, life, id });
            return;
        }
        self.push(self.now, Event::Answer { agent, life, id, answer });
    }

    fn on_hold_over(&mut self, agent: usize, life: u64, id: u64) {
        let is_it = |it: &Hold| it.agent == agent && it.life == life && it.id == id;
        if let Some(position) = self.holds.iter().position(is_it) {
            self.holds.swap_remove(position);
            let answer = match self.endpoints[agent].alive {
                true => Answer::Seen(self.endpoints[agent].look(self.now)),
                false => Answer::Unknown,
            };
            self.push(self.now, Event::Answer { agent, life, id, answer });
        }
    }

    /// Ends what is over on an endpoint, answers looks that wait for it, and checks it.
    fn check_endpoint(&mut self, agent: usize) {
        self.endpoints[agent].advance(self.now);
        if self.endpoints[agent].has_news() && !self.endpoints[agent].silent {
            let waiting: Vec<_> = self.holds.extract_if(.., |it| it.agent == agent).collect();
            for Hold { agent, life, id } in waiting {
                let answer = Answer::Seen(self.endpoints[agent].look(self.now));
                self.push(self.now, Event::Answer { agent, life, id, answer });
            }
        }
        if let Some(due) = self.endpoints[agent].next_end()
            && due < self.due[agent]
        {
            self.due[agent] = due;
            self.push(due.max(self.now + 1), Event::EndpointDue(agent));
        }
        self.check_promises(agent);
    }

    fn check_promises(&mut self, agent: usize) {
        let endpoint = &self.endpoints[agent];
        if endpoint.used() > endpoint.capacity {
            let what = format!("endpoint {agent} is over its capacity");
            self.report.violations.push(Violation { at: self.now, what });
        }
        let runs: Vec<RunKey> = endpoint.runs().collect();
        for key in runs {
            let task = (key.job, key.step, key.index);
            let same = |it: &RunKey| (it.job, it.step, it.index) == task;
            for other in 0..self.endpoints.len() {
                if other != agent {
                    self.endpoints[other].advance(self.now);
                }
            }
            let running = self.endpoints.iter().flat_map(Endpoint::runs).filter(same).count();
            if running > 1 && self.overlaps.insert(task) {
                let what = format!("two runs of {key} at the same time");
                self.report.violations.push(Violation { at: self.now, what });
            }
        }
    }

    fn on_reply(&mut self, token: u64, reply: Reply) {
        let Some(job) = self.callers.requests.remove(&token) else { return };
        let Some(open) = self.callers.open.get_mut(&job) else { return };
        if open.request.is_none_or(|(_, it)| it != token) {
            return;
        }
        open.request = None;
        self.trace(job, || format!("request {token} is answered: {reply:?}"));
        let Some(open) = self.callers.open.get_mut(&job) else { return };
        match reply {
            Reply::Completed | Reply::Failed => self.finish(job, Some(reply)),
            Reply::Refused { .. } => {
                if open.sends == 1 {
                    self.refused.insert(job);
                }
                self.finish(job, Some(reply));
            }
            Reply::GivenUp | Reply::Cancelled => {
                self.push(self.now + RESEND_MS, Event::Send(job));
            }
        }
    }

    /// Tells a step in the course of a job, if it is the one to be traced.
    fn trace(&mut self, job: JobId, step: impl FnOnce() -> String) {
        if self.options.trace == Some(job) {
            self.report.trace.push(format!("{} ms: {}", self.now, step()));
        }
    }

    /// Counts a job that gets no further answer.
    fn finish(&mut self, job: JobId, reply: Option<Reply>) {
        let Some(open) = self.callers.open.remove(&job) else { return };
        let truth = &self.truths[&job];
        let took = self.now - open.first;
        let kind = &mut self.report.kinds[truth.kind];
        let as_it_should = match reply {
            Some(Reply::Completed) => !truth.poisoned,
            Some(Reply::Failed) => truth.poisoned,
            Some(Reply::Refused { .. } | Reply::GivenUp | Reply::Cancelled) | None => false,
        };
        match reply {
            Some(Reply::Refused { .. }) if took * 4 <= truth.objective => kind.refused_early += 1,
            Some(Reply::Refused { .. }) => kind.refused_late += 1,
            _ if !as_it_should => kind.failed += 1,
            _ if took <= truth.objective => {
                kind.in_time += 1;
                self.answered.insert(job, Answered::InTime);
            }
            _ => {
                kind.late += 1;
                self.answered.insert(job, Answered::Late);
            }
        }
        if as_it_should {
            kind.times.saturating_record(took);
            let work: u64 = truth.work.iter().sum();
            self.report.useful += work * u64::from(truth.cpu) / 1_000;
        }
    }

    fn strike(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::KillEntry(entry) => {
                self.entries[entry] = None;
                self.drop_held(Host::Entry(entry));
                self.break_requests(entry);
            }
            FaultKind::KillAgent(agent) => {
                self.agents[agent] = None;
                self.drop_held(Host::Agent(agent));
                self.lives[agent] += 1;
            }
            FaultKind::FreezeEntry(entry) => {
                self.frozen.entry(Host::Entry(entry)).or_default();
            }
            FaultKind::FreezeAgent(agent) => {
                self.frozen.entry(Host::Agent(agent)).or_default();
            }
            FaultKind::CrashEndpoint(agent) => {
                self.endpoints[agent].crash();
            }
            FaultKind::SilenceEndpoint(agent) => self.endpoints[agent].silent = true,
            FaultKind::HangEndpoint(agent) => self.endpoints[agent].hangs = true,
            FaultKind::FailEndpoint(agent) => self.endpoints[agent].fails = true,
            FaultKind::SlowEndpoint(agent, times) => self.endpoints[agent].slowness = times,
            FaultKind::DeafenEntries(agent) => {
                self.lost_from.insert(agent);
            }
            FaultKind::DeafenAgent(agent) => {
                self.lost_to.insert(agent);
            }
            FaultKind::LateCalls(share) => self.late_calls = share,
            FaultKind::Loss(share) => self.loss = share,
        }
    }

    fn heal(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::KillEntry(entry) => self.start_entry(entry),
            FaultKind::KillAgent(agent) => self.start_agent(agent),
            FaultKind::FreezeEntry(entry) => self.thaw(Host::Entry(entry)),
            FaultKind::FreezeAgent(agent) => self.thaw(Host::Agent(agent)),
            FaultKind::CrashEndpoint(agent) => self.endpoints[agent].alive = true,
            FaultKind::SilenceEndpoint(agent) => self.endpoints[agent].silent = false,
            FaultKind::HangEndpoint(agent) => self.endpoints[agent].hangs = false,
            FaultKind::FailEndpoint(agent) => self.endpoints[agent].fails = false,
            FaultKind::SlowEndpoint(agent, _) => self.endpoints[agent].slowness = 1.0,
            FaultKind::DeafenEntries(agent) => {
                self.lost_from.remove(&agent);
            }
            FaultKind::DeafenAgent(agent) => {
                self.lost_to.remove(&agent);
            }
            FaultKind::LateCalls(_) => self.late_calls = 0.0,
            FaultKind::Loss(_) => self.loss = 0.0,
        }
    }

    /// Hands a host what has arrived while it was suspended, in order.
    fn thaw(&mut self, host: Host) {
        for event in self.frozen.remove(&host).unwrap_or_default() {
            self.push(self.now, event);
        }
    }

    /// What a process had not read when it was killed is gone.
    fn drop_held(&mut self, host: Host) {
        if let Some(held) = self.frozen.get_mut(&host) {
            held.clear();
        }
    }

    /// Callers of an entry that was killed come again.
    fn break_requests(&mut self, entry: usize) {
        for (job, token) in self.callers.at(entry) {
            self.callers.requests.remove(&token);
            if let Some(open) = self.callers.open.get_mut(&job) {
                open.request = None;
            }
            self.push(self.now + RESEND_MS, Event::Send(job));
        }
    }

    /// Counts what has no answer at the end, and refusals that were not true.
    fn close(&mut self) {
        let mut open: Vec<_> = self.callers.open.keys().copied().collect();
        open.sort_unstable();
        for job in open {
            self.finish(job, None);
        }
        let mut untrue: Vec<_> = self.refused.intersection(&self.ran).copied().collect();
        untrue.sort_unstable();
        for job in untrue {
            let what = format!("job {job} was refused and has run");
            self.report.violations.push(Violation { at: self.now, what });
        }
        let room: f64 = self.options.endpoints.iter().map(|it| f64::from(*it) / 1_000.0).sum();
        let length = self.options.length as f64;
        self.report.worth = worth(&self.truths, &self.answered, room * length);
    }
}

/// Time for which a call waits at the endpoint, in ms.
fn wait_of(kind: &CallKind) -> u64 {
    match kind {
        CallKind::Hold { wait, .. } => *wait,
        CallKind::Start { .. } | CallKind::Stop { .. } => 0,
    }
}

/// Process that handles an event; none for events of the world.
fn host_of(event: &Event) -> Option<Host> {
    match event {
        Event::Tick(host) | Event::Datagram { to: host, .. } => Some(*host),
        Event::Heartbeat(agent) | Event::Answer { agent, .. } => Some(Host::Agent(*agent)),
        Event::Submit { entry, .. } | Event::Gone { entry, .. } => Some(Host::Entry(*entry)),
        Event::Arrive(_)
        | Event::Send(_)
        | Event::OutOfPatience { .. }
        | Event::Call { .. }
        | Event::HoldOver { .. }
        | Event::EndpointDue(_)
        | Event::Strike(_)
        | Event::Heal(_) => None,
    }
}

fn address(host: Host) -> SocketAddrV4 {
    let (kind, number) = match host {
        Host::Entry(number) => (1, number),
        Host::Agent(number) => (2, number),
    };
    SocketAddrV4::new(Ipv4Addr::new(10, kind, (number / 256) as u8, (number % 256) as u8), PORT)
}

fn host(address: SocketAddrV4) -> Host {
    let [_, kind, high, low] = address.ip().octets();
    let number = usize::from(high) * 256 + usize::from(low);
    if kind == 1 { Host::Entry(number) } else { Host::Agent(number) }
}
