//! Discrete-event simulation of the system: the virtual clock and the queue of events.

use std::{
    collections::{BTreeMap, BinaryHeap, HashMap},
    fmt,
    sync::Arc,
    time::Duration,
};

use config::{CheckError, Inventory};
use ident::{NodeId, Timestamp};
use node::Event;
use rand::{SeedableRng, rngs::StdRng};
use register::State;

use crate::{
    Report, Script,
    callers::Callers,
    endpoint::Endpoints,
    fleet::{Core, Member},
    log::FakeLog,
    net::Net,
};

/// Virtual time at which every run starts.
const START: Timestamp = Timestamp::from_millis(1_790_000_000_000);

/// Time for the system to settle before the script's time zero.
const WARM_UP: Duration = Duration::from_secs(8);

/// Interval between ticks of a node.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Offset between the ticks of consecutive nodes.
const TICK_OFFSET: Duration = Duration::from_micros(137);

/// Interval between reads of the log by an entry.
const ENTRY_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between reads of the log by an agent.
const AGENT_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Error that prevents a script from running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlayError {
    /// The inventory is not valid.
    Inventory(String),
    /// The script names a node or endpoint that does not exist.
    UnknownName(String),
}

/// A scheduled event of the simulation.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// A step of the script.
    Step(usize),
    /// One of a step's repeated requests.
    Send { step: usize, index: u64 },
    /// A node's clock ticks.
    Tick(NodeId),
    /// An event reaches a node.
    Deliver { node: NodeId, event: Event },
    /// A call to a peer times out.
    CallTimeout(u64),
    /// A node reads the log, and again at the interval if there is one.
    ReadLog { node: NodeId, interval: Option<Duration> },
    /// A read of the log returns.
    Page { node: NodeId, sent: Timestamp },
    /// A peer's state arrives.
    Fetched { node: NodeId, state: Arc<State>, read_at: Timestamp },
    /// A record reaches the log.
    Append { record: register::Record, by: Option<NodeId> },
    /// An endpoint finishes a request.
    Finish(u64),
    /// A task's lease is checked for expiry.
    CheckLease(u64),
}

struct Scheduled {
    at: Timestamp,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Simulated system that runs a script.
pub struct World {
    pub(crate) script: Script,
    pub(crate) inventory: Inventory,
    pub(crate) now: Timestamp,
    pub(crate) rng: StdRng,
    pub(crate) members: BTreeMap<NodeId, Member>,
    pub(crate) names: HashMap<String, NodeId>,
    pub(crate) net: Net,
    pub(crate) log: FakeLog,
    pub(crate) endpoints: Endpoints,
    pub(crate) callers: Callers,
    pub(crate) report: Report,
    queue: BinaryHeap<Scheduled>,
    sequence: u64,
}

impl World {
    /// Runs a script to its end and checks the results.
    pub fn play(script: Script, inventory_text: &str) -> Result<Report, PlayError> {
        let inventory = Inventory::parse(inventory_text).map_err(PlayError::from)?;
        let mut world = World {
            now: START,
            rng: StdRng::seed_from_u64(script.seed),
            members: BTreeMap::new(),
            names: HashMap::new(),
            net: Net::default(),
            log: FakeLog::default(),
            endpoints: Endpoints::default(),
            callers: Callers::default(),
            report: Report::new(START + WARM_UP),
            queue: BinaryHeap::new(),
            sequence: 0,
            inventory,
            script,
        };
        world.check_names()?;
        world.set_up(inventory_text);
        world.run();
        world.check();
        Ok(world.report)
    }

    /// Time zero of the script.
    pub(crate) fn time_zero(&self) -> Timestamp {
        START + WARM_UP
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Scheduled { at: self.now + after, sequence: self.sequence, event });
    }

    fn set_up(&mut self, inventory_text: &str) {
        self.add_members();
        let nodes: Vec<NodeId> = self.members.keys().copied().collect();
        for (index, node) in nodes.into_iter().enumerate() {
            self.schedule(TICK_OFFSET * index as u32, SimEvent::Tick(node));
            let interval = match self.members[&node].core {
                Core::Entry(_) => ENTRY_READ_INTERVAL,
                Core::Agent(_) => AGENT_READ_INTERVAL,
            };
            self.schedule(Duration::ZERO, SimEvent::ReadLog { node, interval: Some(interval) });
        }
        let record = self.log.config_record(0, inventory_text.to_owned(), &mut self.rng);
        self.schedule(Duration::ZERO, SimEvent::Append { record, by: None });
        for index in 0..self.script.steps.len() {
            let at = self.script.steps[index].at;
            self.schedule(WARM_UP + at, SimEvent::Step(index));
        }
    }

    fn run(&mut self) {
        let end = self.time_zero() + self.script.end;
        while let Some(next) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.on_event(next.event);
        }
        self.now = end;
    }

    fn on_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Step(index) => self.on_step(index),
            SimEvent::Send { step, index } => self.on_send(step, index),
            SimEvent::Tick(node) => {
                self.schedule(TICK_INTERVAL, SimEvent::Tick(node));
                if self.members[&node].is_running() {
                    self.handle(node, Event::Tick);
                }
            }
            SimEvent::Deliver { node, event } => self.deliver(node, event),
            SimEvent::CallTimeout(call) => self.on_call_timeout(call),
            SimEvent::ReadLog { node, interval } => {
                if let Some(interval) = interval {
                    self.schedule(interval, SimEvent::ReadLog { node, interval: Some(interval) });
                }
                self.read_log(node);
            }
            SimEvent::Page { node, sent } => self.on_page(node, sent),
            SimEvent::Fetched { node, state, read_at } => self.on_fetched(node, &state, read_at),
            SimEvent::Append { record, by } => self.on_append(record, by),
            SimEvent::Finish(run) => self.on_finish(run),
            SimEvent::CheckLease(run) => self.on_check_lease(run),
        }
    }
}

impl From<CheckError> for PlayError {
    fn from(err: CheckError) -> PlayError {
        PlayError::Inventory(err.to_string())
    }
}

impl fmt::Display for PlayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlayError::Inventory(err) => write!(f, "the inventory is invalid: {err}"),
            PlayError::UnknownName(name) => {
                write!(f, "{name:?} is not a node, endpoint or availability zone of this scenario")
            }
        }
    }
}

impl std::error::Error for PlayError {}
