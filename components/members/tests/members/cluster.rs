//! A simulated cluster whose agents and entries exchange datagrams in rounds of virtual time.

use std::collections::{BTreeMap, HashSet};

use ident::{Incarnation, NodeId, Timestamp};
use members::{HEARTBEAT_INTERVAL, Liveness, MAX_DATAGRAM_BYTES, Members};
use rand::{SeedableRng, rngs::SmallRng};
use wire::{AgentReport, Datagram, encode};

use crate::fixture::{agent, at, entry, report};

/// Bytes of the IP and UDP headers.
const HEADER_BYTES: usize = 28;

pub struct Cluster {
    pub now: Timestamp,
    pub entries: BTreeMap<NodeId, Members>,
    /// Agents that have stopped sending.
    pub dead: HashSet<NodeId>,
    pub leaving: HashSet<NodeId>,
    agents: BTreeMap<NodeId, (Members, AgentReport)>,
    /// Bytes sent and received by each node.
    bytes: BTreeMap<NodeId, usize>,
    rng: SmallRng,
}

impl Cluster {
    pub fn new(agents: usize, entries: usize, zones: usize) -> Cluster {
        let zone = |index: usize| format!("zone-{:02}", index % zones);
        let seeds: Vec<NodeId> = (0..entries).map(entry).collect();
        let members = |index| (entry(index), Members::new(entry(index), zone(index), &seeds));
        let agent_state = |index| {
            let members = Members::new(agent(index), zone(index), &seeds);
            (agent(index), (members, report(index, &zone(index), 0)))
        };
        Cluster {
            now: at(0),
            entries: (0..entries).map(members).collect(),
            dead: HashSet::new(),
            leaving: HashSet::new(),
            agents: (0..agents).map(agent_state).collect(),
            bytes: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(3),
        }
    }

    /// Runs for `rounds` heartbeat intervals.
    pub fn run(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.now = self.now + HEARTBEAT_INTERVAL;
            self.send_heartbeats();
            self.send_gossip();
            for members in self.entries.values_mut() {
                members.tick(self.now);
            }
            for (members, _) in self.agents.values_mut() {
                members.tick(self.now);
            }
        }
    }

    /// Runs until `is_done` holds for every entry and returns the number of rounds.
    pub fn rounds_until(&mut self, is_done: impl Fn(&Members) -> bool) -> u32 {
        for round in 0..1000 {
            if self.entries.values().all(&is_done) {
                return round;
            }
            self.run(1);
        }
        panic!("the condition does not hold on every entry after 1000 rounds");
    }

    /// Bytes per second that the busiest node sent and received since the last call.
    pub fn peak_bytes_per_s(&mut self, rounds: u32) -> f64 {
        let peak = self.bytes.values().max().copied().unwrap_or_default();
        self.bytes.clear();
        peak as f64 / (HEARTBEAT_INTERVAL * rounds).as_secs_f64()
    }

    pub fn agent(&self, index: usize) -> &Members {
        &self.agents[&agent(index)].0
    }

    fn send_heartbeats(&mut self) {
        let running = self.agents.keys().filter(|it| !self.dead.contains(it));
        for node in running.copied().collect::<Vec<NodeId>>() {
            let (members, report) = self.agents.get_mut(&node).expect("the agent exists");
            report.sequence += 1;
            report.leaving = self.leaving.contains(&node);
            let report = report.clone();
            let Some(target) = members.next_heartbeat() else { continue };
            let heartbeat = Datagram::Heartbeat(report.clone());
            self.count(node, target, &heartbeat);
            let Some(entry) = self.entries.get_mut(&target) else { continue };
            entry.on_heartbeat(&report, self.now);
            let ack = entry.ack(&report, 70_000, self.now, &mut self.rng);
            self.count(target, node, &ack);
            self.on_ack(node, ack);
        }
    }

    fn on_ack(&mut self, node: NodeId, ack: Datagram) {
        let Datagram::HeartbeatAck { from, next_offset, entries, zone_entries, peers, .. } = ack
        else {
            panic!("expected a heartbeat acknowledgement");
        };
        let (members, _) = self.agents.get_mut(&node).expect("the agent exists");
        members.on_ack(from, next_offset, self.now);
        members.on_entries(&entries, self.now);
        members.on_zone_entries(&zone_entries, self.now);
        for peer in &peers {
            members.on_report(peer, self.now);
        }
    }

    fn send_gossip(&mut self) {
        let nodes: Vec<NodeId> = self.entries.keys().copied().collect();
        for node in nodes {
            let members = self.entries.get_mut(&node).expect("the entry exists");
            let gossip = members.gossip(Incarnation(at(0)), 70_000, &mut self.rng);
            for (target, datagram) in gossip {
                self.count(node, target, &datagram);
                self.on_gossip(target, datagram);
            }
        }
    }

    fn on_gossip(&mut self, target: NodeId, datagram: Datagram) {
        let Datagram::Gossip {
            from,
            incarnation,
            availability_zone,
            next_offset,
            entries,
            agents,
            suspicions,
        } = datagram
        else {
            panic!("expected gossip between entries");
        };
        let Some(members) = self.entries.get_mut(&target) else { return };
        members.on_gossip(from, incarnation, &availability_zone, next_offset, self.now);
        members.on_entries(&entries, self.now);
        for report in &agents {
            members.on_report(report, self.now);
        }
        for suspicion in &suspicions {
            members.on_silence(suspicion, self.now);
        }
    }

    fn count(&mut self, from: NodeId, to: NodeId, datagram: &Datagram) {
        let bytes = encode(datagram).len();
        assert!(
            bytes <= MAX_DATAGRAM_BYTES,
            "datagram of {bytes} bytes exceeds the limit of {MAX_DATAGRAM_BYTES}"
        );
        for node in [from, to] {
            *self.bytes.entry(node).or_default() += bytes + HEADER_BYTES;
        }
    }
}

/// Number of agents that are alive in the view.
pub fn alive(members: &Members) -> usize {
    members.iter().filter(|it| it.liveness == Liveness::Alive).count()
}
