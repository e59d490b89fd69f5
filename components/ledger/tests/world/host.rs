//! Hosts, the processes on them and the messages that these send.

use std::{sync::Arc, time::Duration};

use ident::{Incarnation, NodeId, Timestamp};
use ledger::{Ledger, Limits};
use rand::{RngExt, rngs::SmallRng};
use register::Table;
use tenure::{Action, Tenure};
use wire::Datagram;

use super::{Defect, Message, SKEW, World, group, node};

/// Time between two reads of the log.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time that a stopping process waits for its running requests.
const DRAIN_TIME: Duration = Duration::from_millis(400);

/// Host with a clock and at most one process.
pub struct Host {
    pub index: usize,
    pub process: Option<Process>,
    /// Whether the process is suspended.
    pub is_paused: bool,
    /// Hosts that are unreachable from this one, and it from them.
    pub cut_links: Vec<usize>,
    /// Whether the log is unreachable from this host.
    pub log_unreachable: bool,
    /// Hosts that this one considers dead, whether they are or not.
    pub suspected: Vec<usize>,
    /// Messages that arrived during a pause.
    pub buffered: Vec<Message>,
    /// Lag of the clock behind a common reference, at most the skew.
    pub clock_lag: Duration,
    /// Incarnation of the first process on the host.
    pub first_start: Option<Incarnation>,
}

/// A running agent.
pub struct Process {
    pub incarnation: Incarnation,
    pub tenure: Tenure,
    pub ledger: Ledger,
    pub state: State,
    /// Time of the next read of the log.
    poll_at: Timestamp,
}

/// Newest table that a process has received.
#[derive(Debug, Clone, Default)]
pub struct State {
    pub table: Arc<Table>,
    pub next_offset: u64,
    pub read_at: Timestamp,
}

impl Host {
    pub fn new(index: usize, rng: &mut SmallRng) -> Host {
        Host {
            index,
            process: None,
            is_paused: false,
            cut_links: Vec::new(),
            log_unreachable: false,
            suspected: Vec::new(),
            buffered: Vec::new(),
            clock_lag: random_lag(rng),
            first_start: None,
        }
    }
}

/// Random lag of a clock behind the reference.
pub fn random_lag(rng: &mut SmallRng) -> Duration {
    Duration::from_micros(rng.random_range(0..=SKEW.as_micros() as u64))
}

impl World {
    /// Time on the clock of a host.
    pub fn clock(&self, host: usize) -> Timestamp {
        self.now + SKEW / 2 - self.hosts[host].clock_lag
    }

    /// Starts the process of a host.
    pub fn start(&mut self, index: usize) {
        self.start_since(index, Duration::ZERO);
    }

    /// Starts the process of a host as if it had been running for the given time.
    pub fn start_since(&mut self, index: usize, uptime: Duration) {
        let clock = self.clock(index) - uptime;
        let host = &mut self.hosts[index];
        if host.process.is_some() {
            return;
        }
        let incarnation = Incarnation(clock);
        let tenure_incarnation = match (self.defect, host.first_start) {
            (Defect::ReusedIncarnation, Some(first)) => first,
            (_, _) => incarnation,
        };
        host.first_start.get_or_insert(incarnation);
        host.process = Some(Process {
            incarnation,
            tenure: Tenure::new(node(index), tenure_incarnation, group(), SKEW),
            ledger: Ledger::new(Limits::default()),
            state: State::default(),
            poll_at: clock,
        });
        host.is_paused = false;
        host.buffered.clear();
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].process = None;
        self.hosts[index].buffered.clear();
        self.hosts[index].is_paused = false;
    }

    /// Stops the process of a host gracefully.
    pub fn stop(&mut self, index: usize) {
        let clock = self.clock(index);
        let host = &mut self.hosts[index];
        if host.is_paused {
            return;
        }
        let Some(process) = &mut host.process else { return };
        process.tenure.release(clock);
        let incarnation = process.incarnation;
        self.hand_over(index);
        self.network.send_after(index, Message::Exit { incarnation }, self.now, DRAIN_TIME);
    }

    /// Resumes a paused process and delivers the messages that arrived meanwhile.
    pub fn resume(&mut self, index: usize) {
        self.hosts[index].is_paused = false;
        for message in std::mem::take(&mut self.hosts[index].buffered) {
            self.deliver(index, message);
        }
    }

    pub(super) fn tick_hosts(&mut self) {
        for index in 0..self.hosts.len() {
            let clock = self.clock(index);
            let alive = self.alive(index);
            let host = &mut self.hosts[index];
            if host.is_paused {
                continue;
            }
            let Some(process) = &mut host.process else { continue };
            let actions = process.tenure.tick(clock, &alive);
            process.ledger.expire(clock);
            let is_due = clock >= process.poll_at;
            if is_due {
                process.poll_at = clock + POLL_INTERVAL;
            }
            self.execute(index, actions);
            if is_due {
                self.read_log(index);
            }
        }
    }

    fn reaches(&self, index: usize, peer: usize) -> bool {
        !self.hosts[index].cut_links.contains(&peer) && !self.hosts[peer].cut_links.contains(&index)
    }

    /// Nodes that the host considers alive, including its own.
    fn alive(&self, index: usize) -> Vec<NodeId> {
        let host = &self.hosts[index];
        let alive = self.hosts.iter().filter(|peer| {
            let is_up = peer.process.is_some() && !peer.is_paused;
            let is_suspected = host.suspected.contains(&peer.index);
            let is_visible = self.reaches(index, peer.index) && !is_suspected;
            peer.index == index || (is_up && is_visible)
        });
        alive.map(|it| node(it.index)).collect()
    }

    pub(super) fn execute(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::RequestPromise { deputy } => self.send_promise_request(index, deputy),
                Action::Assign(_) if self.hosts[index].log_unreachable => {}
                Action::Assign(shards) => {
                    let message = Message::Append { shards };
                    let sent = self.now + self.append_delay;
                    self.network.send(index, message, sent, &mut self.rng);
                }
                Action::Refresh => self.refresh(index),
            }
        }
    }

    fn send_promise_request(&mut self, index: usize, deputy: NodeId) {
        let message = self.promise_request(index);
        self.send_to_peer(index, deputy, message);
    }

    /// Request that the process of a host would send to its deputies now.
    pub fn promise_request(&self, index: usize) -> Message {
        let process = self.hosts[index].process.as_ref().expect("the process runs");
        match process.tenure.promise_request() {
            Datagram::PromiseRequest { owner, incarnation, next_offset } => {
                Message::PromiseRequest { owner, incarnation, next_offset }
            }
            other => panic!("{other:?} is not a promise request"),
        }
    }

    pub(super) fn send_to_peer(&mut self, index: usize, to: NodeId, message: Message) {
        let peer = (0..self.hosts.len()).find(|peer| node(*peer) == to);
        let Some(peer) = peer else { return };
        if self.reaches(index, peer) {
            self.network.send(peer, message, self.now, &mut self.rng);
        }
    }

    /// Requests the newest table from the log and from a random peer.
    fn refresh(&mut self, index: usize) {
        self.read_log(index);
        let peer = self.rng.random_range(0..self.hosts.len());
        if peer == index || !self.reaches(index, peer) {
            return;
        }
        let Some(process) = &self.hosts[peer].process else { return };
        if !self.hosts[peer].is_paused {
            let State { table, next_offset, read_at } = process.state.clone();
            let message = Message::State { table, next_offset, read_at };
            self.network.send(index, message, self.now, &mut self.rng);
        }
    }

    fn read_log(&mut self, index: usize) {
        if !self.log.is_up || self.hosts[index].log_unreachable {
            return;
        }
        let message = Message::State {
            table: self.log.read(),
            next_offset: self.log.next_offset(),
            read_at: self.clock(index),
        };
        self.network.send(index, message, self.now, &mut self.rng);
    }

    pub(super) fn hand_over(&mut self, index: usize) {
        for (to, message) in self.hand_overs(index) {
            self.send_to_peer(index, to, message);
        }
    }

    /// Messages with which the stopping process of a host hands over its ledger.
    pub fn hand_overs(&self, index: usize) -> Vec<(NodeId, Message)> {
        let process = self.hosts[index].process.as_ref().expect("the process runs");
        let transfers = process.tenure.released().into_iter();
        let from = node(index);
        transfers
            .map(|it| (it.to, Message::HandOver { from, ledger: it.encode(&process.ledger) }))
            .collect()
    }
}
