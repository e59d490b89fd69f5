//! Simulated entry and agent processes.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use agent::Agent;
use entry::Entry;
use ident::{Group, Incarnation, NodeId, Timestamp};
use node::{Effect, Event};
use register::Follower;

use crate::{PlayError, World, script::Action};

/// Port of every node; addresses differ by host.
const PORT: u16 = 7400;

/// Interval between snapshots in the log.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5 * 60);

/// Core of an entry or an agent.
pub(crate) enum Core {
    Entry(Box<Entry>),
    Agent(Box<Agent>),
}

impl Core {
    /// Version of the configuration in force.
    pub fn version(&self) -> u64 {
        match self {
            Core::Entry(entry) => entry.version(),
            Core::Agent(agent) => agent.version(),
        }
    }
}

/// A node, with the state that the daemon keeps around its core.
pub(crate) struct Member {
    pub name: String,
    pub zone: String,
    pub core: Core,
    pub role: Role,
    pub follower: Follower,
    pub state: ProcessState,
    pub backlog: Vec<Event>,
    pub stopped_at: Option<Timestamp>,
}

/// Role in which a node is started.
#[derive(Debug, Clone)]
pub(crate) enum Role {
    Entry,
    Agent(Group),
}

/// State of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessState {
    Running,
    Paused,
    /// The process has exited; its host refuses connections.
    Exited,
    /// The host has failed; connections to it time out.
    Dead,
}

impl Member {
    pub fn is_running(&self) -> bool {
        self.state == ProcessState::Running
    }

    pub fn is_entry(&self) -> bool {
        matches!(self.core, Core::Entry(_))
    }
}

impl World {
    pub(crate) fn add_members(&mut self) {
        let zones: Vec<String> =
            self.inventory.availability_zones.iter().map(|zone| zone.name.clone()).collect();
        for index in 0..self.script.entries {
            let zone = zones[index % zones.len()].clone();
            self.add_member(format!("entry-{}", index + 1), zone, Role::Entry);
        }
        let count = self.script.agents;
        for executor in self.inventory.executors.clone().into_iter().take(count) {
            let group = Group::Service(executor.service);
            self.add_member(executor.name, executor.availability_zone, Role::Agent(group));
        }
        for worker in self.inventory.workers.clone().into_iter().take(count) {
            let zone = self.inventory.rack_zone(&worker.rack).unwrap_or_default().to_owned();
            self.add_member(worker.name, zone, Role::Agent(Group::Workers));
        }
    }

    fn add_member(&mut self, name: String, zone: String, role: Role) {
        let host = self.members.len() as u8 + 1;
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), PORT);
        let node = NodeId(SocketAddr::V4(address));
        self.names.insert(name.clone(), node);
        let member = Member {
            core: self.start_core(node, &name, &zone, &role),
            name,
            zone,
            role,
            follower: Follower::new(self.now, SNAPSHOT_INTERVAL),
            state: ProcessState::Running,
            backlog: Vec::new(),
            stopped_at: None,
        };
        self.members.insert(node, member);
    }

    fn start_core(&self, node: NodeId, name: &str, zone: &str, role: &Role) -> Core {
        let seeds: Vec<NodeId> = (1..=self.script.entries as u8)
            .map(|host| NodeId(SocketAddr::from((Ipv4Addr::new(10, 0, 0, host), PORT))))
            .collect();
        let incarnation = Incarnation(self.now);
        let availability_zone = zone.to_owned();
        let seed = self.script.seed ^ self.now.as_micros() ^ u64::from(node.0.port());
        let seed = seed.wrapping_add(ip_bits(node));
        match role {
            Role::Entry => Core::Entry(Box::new(Entry::new(entry::Options {
                node,
                incarnation,
                availability_zone,
                seeds,
                seed,
            }))),
            Role::Agent(group) => Core::Agent(Box::new(Agent::new(agent::Options {
                node,
                incarnation,
                name: name.to_owned(),
                group: group.clone(),
                availability_zone,
                seeds,
                seed,
            }))),
        }
    }

    /// Delivers an event to a node; queues it while the node's process is paused.
    pub(crate) fn deliver(&mut self, node: NodeId, event: Event) {
        let Some(member) = self.members.get_mut(&node) else { return };
        match member.state {
            ProcessState::Running => self.handle(node, event),
            ProcessState::Paused => member.backlog.push(event),
            ProcessState::Exited | ProcessState::Dead => {}
        }
    }

    pub(crate) fn handle(&mut self, node: NodeId, event: Event) {
        let Some(member) = self.members.get_mut(&node) else { return };
        let before = member.core.version();
        let effects = match &mut member.core {
            Core::Entry(entry) => entry.handle(self.now, event),
            Core::Agent(agent) => agent.handle(self.now, event),
        };
        let after = member.core.version();
        if after > before {
            self.report.in_force.insert(node, self.now);
        } else if after < before {
            let name = member.name.clone();
            self.report.add_violation(self.now, format!("the configuration of {name} reverts"));
        }
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: NodeId, effect: Effect) {
        match effect {
            Effect::Respond { token, reply } => self.on_answer(token, reply),
            Effect::Reply { to, reply } => self.on_reply(node, to, reply),
            Effect::CallPeer { token, node: to, call, timeout } => {
                self.on_call(node, to, token, call, timeout);
            }
            Effect::Send { node: to, datagram } => self.on_datagram(node, to, datagram),
            Effect::Execute { token, run, timeout } => self.on_execute(node, token, &run, timeout),
            Effect::StartTask { token, task } => self.on_start_task(node, token, &task),
            Effect::RenewTask { token, lease } => self.on_renew_task(node, token, lease),
            Effect::StopTask { token } => self.on_stop_task(node, token),
            Effect::Append(record) => self.append_from(node, record),
            Effect::Refresh { peer } => self.refresh(node, peer),
            Effect::LogDecision(decision) => {
                let name = self.members[&node].name.clone();
                self.report.note_decision(self.now, name, decision);
            }
            Effect::Warn(text) => self.report.note(self.now, text),
            Effect::Stopped => {
                let now = self.now;
                if let Some(member) = self.members.get_mut(&node) {
                    member.state = ProcessState::Exited;
                    member.stopped_at = Some(now);
                }
            }
        }
    }

    pub(crate) fn stop(&mut self, name: &str) {
        let node = self.names[name];
        self.deliver(node, Event::Stop);
    }

    pub(crate) fn kill(&mut self, name: &str) {
        let node = self.names[name];
        if let Some(member) = self.members.get_mut(&node) {
            member.state = ProcessState::Dead;
            member.backlog.clear();
        }
        self.endpoints.kill_host(node, self.now);
        self.callers.mark_entry_lost(node);
        self.break_connections(node);
    }

    pub(crate) fn restart(&mut self, name: &str) {
        let node = self.names[name];
        self.break_connections(node);
        self.callers.mark_entry_lost(node);
        self.endpoints.clear_waiters(node);
        let member = &self.members[&node];
        let (zone, role) = (member.zone.clone(), member.role.clone());
        let core = self.start_core(node, name, &zone, &role);
        let now = self.now;
        if let Some(member) = self.members.get_mut(&node) {
            member.core = core;
            member.follower = Follower::new(now, SNAPSHOT_INTERVAL);
            member.state = ProcessState::Running;
            member.backlog.clear();
            member.stopped_at = None;
        }
        self.report.note(now, format!("{name} restarts"));
        self.read_log(node);
        let peer = self.running_entry(node);
        self.refresh(node, peer);
    }

    pub(crate) fn pause(&mut self, name: &str) {
        let node = self.names[name];
        if let Some(member) = self.members.get_mut(&node) {
            member.state = ProcessState::Paused;
        }
        self.fail_calls(|open| open.to == node);
    }

    pub(crate) fn resume(&mut self, name: &str) {
        let node = self.names[name];
        let Some(member) = self.members.get_mut(&node) else { return };
        member.state = ProcessState::Running;
        for event in std::mem::take(&mut member.backlog) {
            self.handle(node, event);
        }
    }

    pub(crate) fn check_names(&mut self) -> Result<(), PlayError> {
        self.add_members();
        let result = self.script.steps.iter().try_for_each(|step| match &step.action {
            Action::Stop(name)
            | Action::Kill(name)
            | Action::Restart(name)
            | Action::Pause(name)
            | Action::Resume(name)
            | Action::Endpoint(name, _) => self.check_node(name),
            Action::Cut(left, right) | Action::Heal(left, right) => {
                self.check_side(left).and_then(|()| self.check_side(right))
            }
            Action::Silence(from, to) | Action::Hold(from, to, _) => {
                self.check_node(from).and_then(|()| self.check_node(to))
            }
            Action::Submit { options, .. }
            | Action::Resubmit { options, .. }
            | Action::Job { options, .. }
            | Action::Cancel { options, .. } => match &options.via {
                Some(name) => self.check_node(name),
                None => Ok(()),
            },
            Action::Publish(_) | Action::Log(_) => Ok(()),
        });
        self.members.clear();
        self.names.clear();
        result
    }

    fn check_node(&self, name: &str) -> Result<(), PlayError> {
        match self.names.contains_key(name) {
            true => Ok(()),
            false => Err(PlayError::UnknownName(name.to_owned())),
        }
    }

    fn check_side(&self, name: &str) -> Result<(), PlayError> {
        let is_zone = self.inventory.availability_zones.iter().any(|zone| zone.name == name);
        match is_zone || name == crate::net::LOG || name == crate::net::REST {
            true => Ok(()),
            false => self.check_node(name),
        }
    }
}

fn ip_bits(node: NodeId) -> u64 {
    match node.0 {
        SocketAddr::V4(address) => u64::from(u32::from(*address.ip())),
        SocketAddr::V6(address) => u128::from(*address.ip()) as u64,
    }
}
