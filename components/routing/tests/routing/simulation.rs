//! Discrete-event simulation of entries that share executors.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use ident::Timestamp;
use queue::{Item, Queue, TeamKey};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use routing::{Criteria, RequestOutcome, RequestResult, Router};
use wire::Load;

use crate::fixture::{SERVICE, group, inventory, node, report, zone};

/// Mean run time in seconds, of the kinds that `send_request` generates.
const MEAN_RUN_TIME: f64 = 0.6 * 0.1 + 0.37 * 0.5 + 0.03 * 4.0;
/// Longest delay of a report that other entries relay.
const MAX_RELAY_TIME: Duration = Duration::from_millis(1500);
/// One-way latency within an availability zone.
const NEAR_LATENCY: Duration = Duration::from_micros(200);
/// One-way latency between availability zones.
const FAR_LATENCY: Duration = Duration::from_millis(1);

/// How an entry chooses an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Random,
    LeastLoaded,
    Router,
    /// Sees the current state of every queue, without delay.
    Oracle,
}

/// Parameters of one run.
#[derive(Debug, Clone, Copy)]
pub struct Parameters {
    pub policy: Policy,
    pub entries: usize,
    pub agents: usize,
    pub slots: u32,
    /// Offered load as a share of the capacity.
    pub load: f64,
    /// Time between two reports of an agent to an entry.
    pub report_interval: Duration,
    pub seconds: u64,
    pub seed: u64,
}

/// Behaviour of one executor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    Normal,
    /// Fails every request after a millisecond, between two times in seconds.
    Fails {
        from: u64,
        to: u64,
    },
    /// Takes this many times as long.
    Slow(f64),
}

/// Result of one run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Response times as multiples of the ideal one, sorted.
    pub ratios: Vec<f64>,
    /// Requests started by each executor.
    pub started: Vec<u32>,
    /// Requests that failed.
    pub failed: u32,
}

impl Outcome {
    pub fn quantile(&self, fraction: f64) -> f64 {
        self.ratios[((self.ratios.len() - 1) as f64 * fraction) as usize]
    }

    /// Quantile of the response times, less the ideal one.
    pub fn excess(&self, fraction: f64) -> f64 {
        self.quantile(fraction) - 1.0
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    NewRequest,
    ReceiveRequest { request: usize },
    End { request: usize },
    Reply { request: usize },
    SendReport { agent: usize, entry: usize },
    ReceiveReport { agent: usize, entry: usize, report: usize },
}

struct Request {
    kind: &'static str,
    run_time: Duration,
    declared: Duration,
    entry: usize,
    agent: usize,
    expected: Duration,
    sent_at: Timestamp,
    load: Load,
    took: Duration,
    failed: bool,
}

struct Simulation {
    parameters: Parameters,
    behaviours: Vec<Behaviour>,
    /// Generates the requests, the same ones for every policy.
    load_rng: SmallRng,
    /// Draws the choices of the policies and the delays of reports.
    rng: SmallRng,
    now: Timestamp,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    routers: Vec<Router>,
    reports: Vec<Load>,
    /// Latest reported load, by entry and agent.
    reported: Vec<Vec<Load>>,
    queues: Vec<Queue<usize>>,
    outcome: Outcome,
}

/// Runs a simulation; `behaviours` are those of the first executors, and the rest
/// are normal.
pub fn run(parameters: Parameters, behaviours: &[Behaviour]) -> Outcome {
    let mut simulation = Simulation::new(parameters, behaviours);
    simulation.run();
    simulation.outcome.ratios.sort_by(f64::total_cmp);
    simulation.outcome
}

impl Simulation {
    fn new(parameters: Parameters, behaviours: &[Behaviour]) -> Simulation {
        let mut behaviours = behaviours.to_vec();
        behaviours.resize(parameters.agents, Behaviour::Normal);
        let inventory = inventory(parameters.agents, parameters.slots);
        let idle = Load { slots: parameters.slots, ..Load::default() };
        let now = Timestamp::from_millis(1000);
        let router = |index| {
            let mut router = Router::new(zone(index));
            router.set_inventory(&inventory);
            for agent in 0..parameters.agents {
                router.on_report(&report(agent, 0, idle), now);
            }
            router
        };
        Simulation {
            parameters,
            behaviours,
            load_rng: SmallRng::seed_from_u64(parameters.seed),
            rng: SmallRng::seed_from_u64(parameters.seed + 1),
            now,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            routers: (0..parameters.entries).map(router).collect(),
            reports: Vec::new(),
            reported: vec![vec![idle; parameters.agents]; parameters.entries],
            queues: (0..parameters.agents).map(|_| Queue::new(parameters.slots, 100_000)).collect(),
            outcome: Outcome { started: vec![0; parameters.agents], ..Outcome::default() },
        }
    }

    fn run(&mut self) {
        self.schedule(Duration::ZERO, Event::NewRequest);
        for agent in 0..self.parameters.agents {
            for entry in 0..self.parameters.entries {
                let delay = self.parameters.report_interval.mul_f64(self.rng.random());
                self.schedule(delay, Event::SendReport { agent, entry });
            }
        }
        let end = self.now + Duration::from_secs(self.parameters.seconds);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            let is_over = at > end;
            match event {
                Event::NewRequest if !is_over => self.send_request(),
                Event::SendReport { agent, entry } if !is_over => self.send_report(agent, entry),
                Event::NewRequest | Event::SendReport { .. } => {}
                Event::ReceiveReport { agent, entry, report } => {
                    self.receive_report(agent, entry, report)
                }
                Event::ReceiveRequest { request } => self.receive_request(request),
                Event::End { request } => self.end(request),
                Event::Reply { request } => self.receive_reply(request),
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn send_request(&mut self) {
        let capacity = f64::from(self.parameters.slots) * self.parameters.agents as f64;
        let rate = capacity * self.parameters.load / MEAN_RUN_TIME;
        let gap = -(1.0 - self.load_rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::NewRequest);
        let (kind, least, most) = match self.load_rng.random_range(0..100) {
            0..60 => ("slot-check", 0.05, 0.15),
            60..97 => ("cradle-fit", 0.2, 0.8),
            _ => ("plan", 2.0, 6.0),
        };
        let run_time = Duration::from_secs_f64(self.load_rng.random_range(least..most));
        let declared = run_time.mul_f64(2f64.powf(self.load_rng.random_range(-2.0..2.0)));
        let entry = self.load_rng.random_range(0..self.parameters.entries);
        let router = &self.routers[entry];
        let expected = router.expected_run_time(SERVICE, kind, Some(declared), self.now);
        let agent = self.choose(entry, kind, expected);
        self.routers[entry].on_sent(node(agent), expected, self.now);
        self.requests.push(Request {
            kind,
            run_time,
            declared,
            entry,
            agent,
            expected,
            sent_at: self.now,
            load: Load::default(),
            took: Duration::ZERO,
            failed: false,
        });
        let request = self.requests.len() - 1;
        self.schedule(latency(entry, agent), Event::ReceiveRequest { request });
    }

    fn choose(&mut self, entry: usize, kind: &str, expected: Duration) -> usize {
        let agents = 0..self.parameters.agents;
        match self.parameters.policy {
            Policy::Random => self.rng.random_range(agents),
            Policy::LeastLoaded => {
                let load = |agent: &usize| {
                    let load = self.reported[entry][*agent];
                    load.busy + load.queued
                };
                let least = agents.clone().map(|it| load(&it)).min().expect("there are agents");
                let best: Vec<usize> = agents.filter(|it| load(it) == least).collect();
                *best.choose(&mut self.rng).expect("there are agents")
            }
            Policy::Oracle => {
                let wait = |agent: &usize| self.queues[*agent].predicted_wait(0, self.now);
                let busy = |agent: &usize| self.queues[*agent].busy();
                agents.min_by_key(|it| (wait(it), busy(it))).expect("there are agents")
            }
            Policy::Router => {
                let criteria = Criteria { kind, expected, exclude: &[] };
                let choice =
                    self.routers[entry].choose(&group(), &criteria, self.now, &mut self.rng);
                let chosen = choice.expect("there are agents").node;
                agents.clone().find(|it| node(*it) == chosen).expect("the agent exists")
            }
        }
    }

    fn receive_request(&mut self, request: usize) {
        let it = &self.requests[request];
        let item = Item {
            key: request,
            rank: 0,
            deadline: self.now + Duration::from_secs(3600),
            expected: it.expected,
            team: TeamKey::of("team"),
        };
        let agent = it.agent;
        self.queues[agent].push(item, self.now).expect("no request is refused");
        self.start(agent);
    }

    fn start(&mut self, agent: usize) {
        while let Some(request) = self.queues[agent].start_next(self.now) {
            let second = self.now.as_millis() / 1000;
            self.outcome.started[agent] += 1;
            let it = &mut self.requests[request];
            (it.took, it.failed) = match self.behaviours[agent] {
                Behaviour::Fails { from, to } if (from..to).contains(&second) => {
                    (Duration::from_millis(1), true)
                }
                Behaviour::Normal | Behaviour::Fails { .. } => (it.run_time, false),
                Behaviour::Slow(factor) => (it.run_time.mul_f64(factor), false),
            };
            let took = it.took;
            self.schedule(took, Event::End { request });
        }
    }

    fn end(&mut self, request: usize) {
        let agent = self.requests[request].agent;
        self.queues[agent].finish(request, self.now);
        self.start(agent);
        self.requests[request].load = self.queues[agent].load(self.now);
        self.schedule(latency(self.requests[request].entry, agent), Event::Reply { request });
    }

    fn receive_reply(&mut self, request: usize) {
        let it = &self.requests[request];
        let outcome = match it.failed {
            true => RequestOutcome::Failed,
            false => RequestOutcome::Healthy,
        };
        let result = RequestResult {
            kind: it.kind,
            declared: Some(it.declared),
            expected: it.expected,
            sent_at: it.sent_at,
            run_time: it.took,
            outcome,
            load: Some(it.load),
        };
        self.routers[it.entry].on_reply(node(it.agent), &result, self.now);
        if it.failed {
            self.outcome.failed += 1;
            return;
        }
        let ideal = it.run_time + NEAR_LATENCY * 2;
        let response = self.now.since(it.sent_at);
        self.outcome.ratios.push(response.as_secs_f64() / ideal.as_secs_f64());
    }

    fn send_report(&mut self, agent: usize, entry: usize) {
        self.reports.push(self.queues[agent].load(self.now));
        let report = self.reports.len() - 1;
        let relay = MAX_RELAY_TIME.mul_f64(self.rng.random());
        self.schedule(latency(entry, agent) + relay, Event::ReceiveReport { agent, entry, report });
        self.schedule(self.parameters.report_interval, Event::SendReport { agent, entry });
    }

    fn receive_report(&mut self, agent: usize, entry: usize, index: usize) {
        let load = self.reports[index];
        self.reported[entry][agent] = load;
        self.sequence += 1;
        self.routers[entry].on_report(&report(agent, self.sequence, load), self.now);
    }
}

fn latency(entry: usize, agent: usize) -> Duration {
    match zone(entry) == zone(agent) {
        true => NEAR_LATENCY,
        false => FAR_LATENCY,
    }
}
