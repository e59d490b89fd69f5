//! The simulation: its state, its event queue, and the network between processes.

mod callers;
mod endpoints;
mod evacuations;
mod faults;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    net::{Ipv4Addr, SocketAddrV4},
};

use broker::{
    Broker, Effect as EntryEffect, Event as EntryEvent, OrderCounts, Policy, RUN_EXPIRY_MS,
    Submission,
};
use guard::{Answer, Call, Effect as AgentEffect, Event as AgentEvent, Guard, Heartbeat, Timing};
use mesh::{Datagram, JobId, RunKey, Uptime};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use self::evacuations::EvacuationState;
use crate::{
    callers::Callers,
    endpoint::Endpoint,
    fault::{CallFaults, Fault},
    history::History,
    load::{Load, NeedsByJob},
    report::{KindReport, Report, WeightedShares},
    weighting::Timeliness,
};

/// Interval between ticks of a process, in ms.
const TICK_MS: u64 = 10;
/// Interval between heartbeats of an endpoint, in ms.
const HEARTBEAT_MS: u64 = 1_500;
/// Mean network delay of a datagram, in ms.
const DELAY_MS: u64 = 1;
/// Time before the start of arrivals, in ms, in which entries and agents exchange state.
const WARM_UP_MS: u64 = 4_000;
/// Time after the last arrivals, in ms, in which open jobs are answered.
const COOL_DOWN_MS: u64 = 8_000;
/// Port of all processes.
const PORT: u16 = 7_000;

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct SimulationOptions {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Capacity of each endpoint, in thousandths of a core.
    pub endpoints: Vec<u32>,
    /// Run time on each endpoint relative to the actual one; 1 for those that are not listed.
    pub slowness: Vec<f64>,
    /// Share of the jobs that callers send to each entry, in any unit; equal shares if empty.
    pub demand: Vec<u32>,
    /// Workload.
    pub load: Load,
    /// Time during which jobs arrive, in ms.
    pub length: u64,
    /// Faults; their times are relative to the start of arrivals.
    pub faults: Vec<Fault>,
    /// Whether endpoints announce their birth time.
    pub announce_birth: bool,
    /// Whether draining endpoints announce the time that is left.
    pub announce_remaining: bool,
    /// Time limits of agents.
    pub timing: Timing,
    /// Silence of an agent after which an entry reruns its tasks, in ms.
    pub run_expiry: u64,
    /// Scheduling policy of entries.
    pub policy: Policy,
    /// Number of availability zones, to which entries and agents belong in turn.
    pub zones: usize,
    /// Whether agents learn that their zone is evacuated; tests turn it off.
    pub agents_evacuate: bool,
    /// Factor of tasks away from their rack that entries know from the settings, in percent.
    pub remote_percent: Option<u32>,
    /// Time for which callers wait, in ms; a random one if none is given.
    pub timeout: Option<u64>,
    /// Longest time for which a request waits in the queue of an entry once it was read, in ms.
    pub queue_delay: u64,
    /// Time that the end of a caller's connection takes to its entry, in ms.
    pub end_delay: u64,
    /// Job whose events are recorded in the report.
    pub trace: Option<JobId>,
}

impl SimulationOptions {
    /// A deployment of equal endpoints with production settings and no faults.
    pub fn new(seed: u64, entries: usize, endpoints: Vec<u32>, load: Load, length: u64) -> Self {
        SimulationOptions {
            seed,
            entries,
            endpoints,
            slowness: Vec::new(),
            demand: Vec::new(),
            load,
            length,
            faults: Vec::new(),
            announce_birth: false,
            announce_remaining: true,
            timing: Timing::default(),
            run_expiry: RUN_EXPIRY_MS,
            policy: Policy::default(),
            zones: 1,
            agents_evacuate: true,
            remote_percent: None,
            timeout: None,
            queue_delay: 0,
            end_delay: 0,
            trace: None,
        }
    }
}

/// A scheduled event.
#[derive(Debug)]
enum Event {
    Tick(Host),
    Heartbeat(usize),
    Remove(usize),
    LateHeartbeat(usize, Box<Heartbeat>),
    Arrive(usize),
    Send(JobId),
    /// A request arrives at an entry.
    Submit {
        entry: usize,
        job: JobId,
        token: u64,
        sent: u64,
    },
    /// An entry handles a request that has waited in its queue.
    Dequeue {
        entry: usize,
        request: Box<QueuedRequest>,
    },
    Disconnect {
        entry: usize,
        token: u64,
    },
    RequestTimeout {
        job: JobId,
        token: u64,
    },
    Datagram {
        from: Host,
        to: Host,
        datagram: Box<Datagram>,
    },
    Call {
        pending: PendingCall,
        call: Call,
        answered: bool,
    },
    HoldTimeout(PendingCall),
    Answer {
        agent: usize,
        generation: u64,
        id: u64,
        answer: Answer,
    },
    EndpointDue(usize),
    /// A deadly task crashes the instance of an endpoint that has started it.
    Kill {
        agent: usize,
        instance: u64,
        key: RunKey,
    },
    /// An endpoint that a deadly task has crashed is back.
    Revive {
        agent: usize,
        instance: u64,
    },
    FaultStart(usize),
    FaultEnd(usize),
    /// A process reads the evacuations from the store.
    ReadStore {
        host: Host,
        started: Uptime,
    },
    /// An entry gets the first hello message of a process that has started.
    Hello {
        to: Host,
        from: Host,
    },
}

/// A process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Host {
    Entry(usize),
    Agent(usize),
}

/// A request that an entry has read.
#[derive(Debug)]
struct QueuedRequest {
    token: u64,
    arrived: u64,
    read: u64,
    submission: Submission,
}

/// A call that awaits its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingCall {
    agent: usize,
    generation: u64,
    id: u64,
    /// Time at which the call times out.
    expiry: u64,
}

/// Events deferred until a suspended host resumes.
type Deferred = Vec<Event>;

/// A simulated deployment.
#[derive(Debug)]
pub struct Simulation {
    options: SimulationOptions,
    rng: SmallRng,
    now: u64,
    /// Times and numbers of the scheduled events.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    entries: Vec<Option<Broker>>,
    /// Time at which each entry was last started; the requests that it had read before are gone.
    entry_starts: Vec<u64>,
    agents: Vec<Option<Guard>>,
    /// Incremented when an agent starts or is killed, so that answers to an earlier process are
    /// discarded.
    generations: Vec<u64>,
    suspended: HashMap<Host, Deferred>,
    endpoints: Vec<Endpoint>,
    /// Long polls that wait for a run to end.
    holds: Vec<PendingCall>,
    /// Time of the next [`Event::EndpointDue`] of each endpoint, `u64::MAX` if none is scheduled.
    endpoint_due: Vec<u64>,
    callers: Callers,
    /// Requests whose entry has noticed that the caller disconnected.
    closed: HashSet<u64>,
    needs: NeedsByJob,
    next_job: u64,
    /// Jobs without a started run, with the time at which they were first sent.
    first_sent: HashMap<JobId, u64>,
    /// Jobs with a started run.
    ran: HashSet<JobId>,
    history: History,
    evacuations: EvacuationState,
    /// Jobs refused on their first request.
    refused: HashSet<JobId>,
    call_faults: CallFaults,
    /// Number of crashes of endpoints under each task.
    crashes: HashMap<(JobId, u16, u16), u32>,
    /// Kind of the deadly jobs that arrive, and their share of it.
    deadly: Option<(usize, f64)>,
    /// Share of datagrams that are lost.
    loss: f64,
    /// Agents whose outgoing datagrams are lost.
    lost_from: HashSet<usize>,
    /// Agents whose incoming datagrams are lost.
    lost_to: HashSet<usize>,
    answered: HashMap<JobId, Timeliness>,
    report: Report,
    /// Runs that a late call has started on a restarted endpoint before any call to that instance.
    unfenced: HashSet<(usize, RunKey)>,
    /// Tasks already reported for having two runs at the same time.
    overlaps: HashSet<(JobId, u16, u16)>,
}

impl Simulation {
    /// Creates a deployment whose processes have just started.
    pub fn new(options: SimulationOptions) -> Simulation {
        let kinds = options.load.kinds.iter().map(|it| KindReport::new(&it.name)).collect();
        let report = Report {
            kinds,
            weighted: WeightedShares::default(),
            violations: Vec::new(),
            repeats: Vec::new(),
            unfenced: Vec::new(),
            deadly_crashes: BTreeMap::new(),
            deadly_failed: 0,
            sound_failed: Vec::new(),
            sound_given_up: Vec::new(),
            lost_beside: 0,
            last_starts: vec![0; options.endpoints.len()],
            removed_runs: 0,
            datagrams: 0,
            calls: 0,
            useful_work: 0,
            first_start: KindReport::histogram(),
            orders: OrderCounts::default(),
            trace: Vec::new(),
        };
        let mut simulation = Simulation {
            rng: SmallRng::seed_from_u64(options.seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            entries: (0..options.entries).map(|_| None).collect(),
            entry_starts: vec![0; options.entries],
            agents: options.endpoints.iter().map(|_| None).collect(),
            generations: vec![0; options.endpoints.len()],
            suspended: HashMap::new(),
            endpoints: options
                .endpoints
                .iter()
                .map(|it| Endpoint::new(*it, options.announce_birth))
                .collect(),
            first_sent: HashMap::new(),
            holds: Vec::new(),
            endpoint_due: vec![u64::MAX; options.endpoints.len()],
            callers: Callers::default(),
            closed: HashSet::new(),
            needs: NeedsByJob::new(),
            next_job: 1,
            ran: HashSet::new(),
            history: History::default(),
            evacuations: EvacuationState::new(options.entries, options.endpoints.len()),
            refused: HashSet::new(),
            call_faults: CallFaults::default(),
            crashes: HashMap::new(),
            deadly: None,
            loss: 0.0,
            lost_from: HashSet::new(),
            lost_to: HashSet::new(),
            answered: HashMap::new(),
            report,
            unfenced: HashSet::new(),
            overlaps: HashSet::new(),
            options,
        };
        simulation.start();
        simulation
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Report {
        let end = WARM_UP_MS + self.options.length + COOL_DOWN_MS;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.finish_report();
        self.report
    }

    fn start(&mut self) {
        let on_rack = self.options.load.hot_rack.map_or(0, |it| it.endpoints);
        self.endpoints.iter_mut().take(on_rack).for_each(|it| it.on_hot_rack = true);
        for entry in 0..self.entries.len() {
            self.start_entry(entry);
        }
        for agent in 0..self.agents.len() {
            self.start_agent(agent);
            self.endpoints[agent].slowness = self.usual_slowness(agent);
            let first = self.rng.random_range(0..HEARTBEAT_MS);
            self.push(first, Event::Heartbeat(agent));
        }
        for kind in 0..self.options.load.kinds.len() {
            self.push_arrival(kind, WARM_UP_MS);
        }
        for (number, fault) in self.options.faults.clone().into_iter().enumerate() {
            self.push(WARM_UP_MS + fault.at, Event::FaultStart(number));
            self.push(WARM_UP_MS + fault.at + fault.length, Event::FaultEnd(number));
        }
    }

    /// Slowness of an endpoint without a fault.
    fn usual_slowness(&self, agent: usize) -> f64 {
        self.options.slowness.get(agent).copied().unwrap_or(1.0)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    fn start_entry(&mut self, entry: usize) {
        let options = broker::Options {
            incarnation: self.rng.random(),
            zone: self.zone(Host::Entry(entry)),
            seed: self.rng.random(),
            run_expiry: self.options.run_expiry,
            remote_percent: self.options.remote_percent,
            policy: self.options.policy,
        };
        let now = Uptime(self.now);
        self.entries[entry] = Some(Broker::new(now, options));
        self.entry_starts[entry] = self.now;
        for agent in 0..self.agents.len() {
            let host = Host::Agent(agent);
            let (address, zone) = (address(host), self.zone(host));
            self.run_entry(entry, EntryEvent::Announced { address, zone });
        }
        self.start_evacuations(Host::Entry(entry));
        self.push(self.now + TICK_MS, Event::Tick(Host::Entry(entry)));
    }

    fn start_agent(&mut self, agent: usize) {
        let options = guard::Options {
            incarnation: self.rng.random(),
            fencing_token: self.now + 1,
            timing: self.options.timing,
        };
        self.generations[agent] += 1;
        self.agents[agent] = Some(Guard::new(Uptime(self.now), options));
        self.start_evacuations(Host::Agent(agent));
        self.push(self.now + TICK_MS, Event::Tick(Host::Agent(agent)));
    }

    fn handle(&mut self, event: Event) {
        if let Some(host) = host_of(&event)
            && let Some(deferred) = self.suspended.get_mut(&host)
        {
            deferred.push(event);
            return;
        }
        match event {
            Event::Tick(host) => self.on_tick(host),
            Event::Heartbeat(agent) => self.on_heartbeat(agent),
            Event::LateHeartbeat(agent, beat) => {
                self.run_agent(agent, AgentEvent::Heartbeat(*beat));
            }
            Event::Remove(agent) => self.on_remove(agent),
            Event::Arrive(kind) => self.on_arrival(kind),
            Event::Send(job) => self.send_job(job),
            Event::Submit { entry, job, token, sent } => self.on_submit(entry, job, token, sent),
            Event::Dequeue { entry, request } => self.handle_request(entry, *request),
            Event::Disconnect { entry, token } => {
                self.closed.insert(token);
                self.run_entry(entry, EntryEvent::Disconnected { request_number: token })
            }
            Event::RequestTimeout { job, token } => self.on_request_timeout(job, token),
            Event::Datagram { from, to, datagram } => self.on_datagram(from, to, *datagram),
            Event::Call { pending, call, answered } => self.on_call(pending, &call, answered),
            Event::HoldTimeout(pending) => self.on_hold_timeout(pending),
            Event::Answer { agent, generation, id, answer } => {
                if self.generations[agent] == generation {
                    self.run_agent(agent, AgentEvent::Answered { id, answer });
                }
            }
            Event::EndpointDue(agent) => {
                self.endpoint_due[agent] = u64::MAX;
                self.check_endpoint(agent);
            }
            Event::Kill { agent, instance, key } => self.on_kill(agent, instance, key),
            Event::Revive { agent, instance } => self.on_revive(agent, instance),
            Event::FaultStart(number) => self.start_fault(self.options.faults[number].kind),
            Event::FaultEnd(number) => self.end_fault(self.options.faults[number].kind),
            Event::ReadStore { host, started } => self.read_store(host, started),
            Event::Hello { to, from } => self.on_hello(to, from),
        }
    }

    fn on_tick(&mut self, host: Host) {
        self.tick_evacuations(host);
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

    fn on_datagram(&mut self, from: Host, to: Host, datagram: Datagram) {
        if let (Host::Entry(entry), Datagram::Agent(frame)) = (to, &datagram) {
            self.evacuations.entries[entry].spread.observe(address(from), frame.sender);
        }
        match (to, datagram) {
            (_, Datagram::Evacuations(state)) => self.on_evacuations(from, to, state),
            (Host::Entry(entry), Datagram::EvacuationsSeen { end }) => {
                self.evacuations.entries[entry].spread.confirm(address(from), end);
            }
            (Host::Agent(agent), Datagram::Entry(frame)) if self.agents[agent].is_some() => {
                self.run_agent(agent, AgentEvent::Frame { from: address(from), frame });
            }
            (Host::Entry(entry), Datagram::Agent(frame)) if self.entries[entry].is_some() => {
                self.run_entry(entry, EntryEvent::Frame { from: address(from), frame });
            }
            (Host::Entry(entry), Datagram::Crashes(crashes)) if self.entries[entry].is_some() => {
                let from = address(from);
                self.run_entry(entry, EntryEvent::Crashes { from, crashes });
            }
            (Host::Agent(agent), Datagram::CrashesSeen(seen)) if self.agents[agent].is_some() => {
                let from = address(from);
                self.run_agent(agent, AgentEvent::CrashesSeen { from, seen });
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
            (Host::Entry(_), Host::Entry(_)) => false,
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
                EntryEffect::Answer { request_number: token, reply } => self.on_reply(token, reply),
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

    /// Records an event of a job if it is the traced one.
    fn trace(&mut self, job: JobId, step: impl FnOnce() -> String) {
        if self.options.trace == Some(job) {
            self.report.trace.push(format!("{} ms: {}", self.now, step()));
        }
    }
}

/// Process that handles an event; `None` for events outside entries and agents.
fn host_of(event: &Event) -> Option<Host> {
    match event {
        Event::Tick(host)
        | Event::ReadStore { host, .. }
        | Event::Datagram { to: host, .. }
        | Event::Hello { to: host, .. } => Some(*host),
        Event::Heartbeat(agent) | Event::LateHeartbeat(agent, _) | Event::Answer { agent, .. } => {
            Some(Host::Agent(*agent))
        }
        Event::Submit { entry, .. }
        | Event::Dequeue { entry, .. }
        | Event::Disconnect { entry, .. } => Some(Host::Entry(*entry)),
        Event::Arrive(_)
        | Event::Remove(_)
        | Event::Send(_)
        | Event::RequestTimeout { .. }
        | Event::Call { .. }
        | Event::HoldTimeout(_)
        | Event::EndpointDue(_)
        | Event::Kill { .. }
        | Event::Revive { .. }
        | Event::FaultStart(_)
        | Event::FaultEnd(_) => None,
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
