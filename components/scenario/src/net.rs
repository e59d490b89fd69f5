//! Simulated network between nodes: latency, partitions, and silent or delayed connections.

use std::{collections::HashMap, time::Duration};

use ident::{NodeId, Timestamp};
use node::{CallToken, Event, LinkError, ReplyTo};
use rand::RngExt;
use wire::{Call, CallId, Datagram, Reply};

use crate::{World, fleet::ProcessState, world::SimEvent};

/// Name of the platform's log in scripts.
pub(crate) const LOG: &str = "log";

/// Name in scripts for all nodes not on the other side of a cut.
pub(crate) const REST: &str = "rest";

/// One-way latency within an availability zone.
const ZONE_LATENCY: Duration = Duration::from_micros(250);

/// One-way latency between availability zones.
const CROSS_ZONE_LATENCY: Duration = Duration::from_micros(1000);

/// Time without heartbeats after which a connection is closed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until heartbeats detect a silent connection and a new one replaces it.
const DETECTION_TIME: Duration = Duration::from_millis(1300);

/// Open calls and injected network faults.
#[derive(Default)]
pub(crate) struct Net {
    calls: HashMap<u64, OpenCall>,
    last_call: u64,
    cuts: Vec<(Side, Side)>,
    silent: HashMap<(NodeId, NodeId), Timestamp>,
    delayed: Vec<DelayedConnection>,
}

/// An open connection on which messages arrive after `delay`.
struct DelayedConnection {
    from: NodeId,
    to: NodeId,
    delay: Duration,
    /// When the connection is closed.
    until: Timestamp,
}

/// A call without a reply so far.
pub(crate) struct OpenCall {
    pub from: NodeId,
    pub to: NodeId,
    token: CallToken,
}

/// One side of a cut.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Side {
    Node(NodeId),
    Zone(String),
    Log,
    Rest,
}

impl World {
    pub(crate) fn on_call(
        &mut self,
        from: NodeId,
        to: NodeId,
        token: CallToken,
        call: Call,
        timeout: Duration,
    ) {
        let state = self.members.get(&to).map_or(ProcessState::Dead, |member| member.state);
        let failed = |reply| SimEvent::Deliver {
            node: from,
            event: Event::PeerReplied { token, reply: Err(reply) },
        };
        if state == ProcessState::Exited {
            let delay = self.delay(from, to);
            return self.schedule(delay * 2, failed(LinkError::NotSent));
        }
        if state == ProcessState::Dead {
            return self.schedule(HEARTBEAT_TIMEOUT, failed(LinkError::NotSent));
        }
        if let Some(until) = self.silent_until(from, to) {
            return self.schedule(until.since(self.now), failed(LinkError::Lost));
        }
        if self.is_cut(from, to) {
            return self.schedule(HEARTBEAT_TIMEOUT, failed(LinkError::Lost));
        }
        self.net.last_call += 1;
        let number = self.net.last_call;
        self.net.calls.insert(number, OpenCall { from, to, token });
        let reply_to = ReplyTo { connection: number, call: CallId(number) };
        let event = Event::Call { from: reply_to, peer: from, call };
        let injected = self.connection_delay(from, to);
        let delay = injected.unwrap_or_else(|| self.delay(from, to));
        self.report.count_message();
        self.schedule(delay, SimEvent::Deliver { node: to, event });
        let is_unresponsive = injected.is_some() || state == ProcessState::Paused;
        let limit = if is_unresponsive { HEARTBEAT_TIMEOUT.min(timeout) } else { timeout };
        self.schedule(limit, SimEvent::CallTimeout(number));
    }

    pub(crate) fn on_reply(&mut self, from: NodeId, to: ReplyTo, reply: Reply) {
        let Some(open) = self.net.calls.get(&to.connection) else { return };
        if self.is_cut(from, open.from) || self.silent_until(open.from, open.to).is_some() {
            return;
        }
        let Some(open) = self.net.calls.remove(&to.connection) else { return };
        self.report.count_message();
        let delay = self.delay(from, open.from);
        let event = Event::PeerReplied { token: open.token, reply: Ok(reply) };
        self.schedule(delay, SimEvent::Deliver { node: open.from, event });
    }

    pub(crate) fn on_call_timeout(&mut self, number: u64) {
        let Some(open) = self.net.calls.remove(&number) else { return };
        let event = Event::PeerReplied { token: open.token, reply: Err(LinkError::Lost) };
        self.deliver(open.from, event);
    }

    /// Breaks every call to or from a node; only peers that wait for a reply see a timeout.
    pub(crate) fn break_connections(&mut self, node: NodeId) {
        let mut broken: Vec<u64> = self
            .net
            .calls
            .iter()
            .filter(|(_, open)| open.from == node || open.to == node)
            .map(|(number, _)| *number)
            .collect();
        broken.sort_unstable();
        for number in broken {
            self.schedule(HEARTBEAT_TIMEOUT, SimEvent::CallTimeout(number));
            if let Some(open) = self.net.calls.get(&number)
                && open.from == node
            {
                self.net.calls.remove(&number);
            }
        }
    }

    pub(crate) fn on_datagram(&mut self, from: NodeId, to: NodeId, datagram: Datagram) {
        if self.is_cut(from, to) {
            return;
        }
        self.report.datagrams += 1;
        let delay = self.delay(from, to);
        self.schedule(delay, SimEvent::Deliver { node: to, event: Event::Datagram(datagram) });
    }

    pub(crate) fn cut(&mut self, left: &str, right: &str) {
        let cut = (self.side(left), self.side(right));
        self.net.cuts.push(cut);
        let calls = self.net.calls.iter();
        let mut cut_off: Vec<u64> = calls
            .filter(|(_, open)| self.is_cut(open.from, open.to))
            .map(|(number, _)| *number)
            .collect();
        cut_off.sort_unstable();
        for number in cut_off {
            self.schedule(HEARTBEAT_TIMEOUT, SimEvent::CallTimeout(number));
        }
    }

    pub(crate) fn heal(&mut self, left: &str, right: &str) {
        let cut = (self.side(left), self.side(right));
        self.net.cuts.retain(|it| *it != cut);
    }

    /// Makes the open connection between two nodes silent; its calls fail once heartbeats detect
    /// the silence.
    pub(crate) fn silence(&mut self, from: &str, to: &str) {
        let (from, to) = (self.names[from], self.names[to]);
        self.net.silent.insert((from, to), self.now + DETECTION_TIME);
        self.fail_calls(|open| open.from == from && open.to == to);
    }

    /// Delays everything on the open connection; calls sent on it before the heartbeat timeout
    /// fail.
    pub(crate) fn hold(&mut self, from: &str, to: &str, delay: Duration) {
        let (from, to) = (self.names[from], self.names[to]);
        let until = self.now + HEARTBEAT_TIMEOUT;
        self.net.delayed.push(DelayedConnection { from, to, delay, until });
        self.fail_calls(|open| open.from == from && open.to == to);
    }

    fn connection_delay(&self, from: NodeId, to: NodeId) -> Option<Duration> {
        let mut delayed = self.net.delayed.iter();
        let found = delayed.find(|it| it.from == from && it.to == to && self.now < it.until);
        found.map(|it| it.delay)
    }

    /// Fails the matching calls once heartbeats detect that their connection is silent.
    pub(crate) fn fail_calls(&mut self, matches: impl Fn(&OpenCall) -> bool) {
        let calls = self.net.calls.iter();
        let mut matching: Vec<u64> =
            calls.filter(|(_, open)| matches(open)).map(|(number, _)| *number).collect();
        matching.sort_unstable();
        for number in matching {
            self.schedule(DETECTION_TIME, SimEvent::CallTimeout(number));
        }
    }

    /// When the connection from one node to another is replaced, if it is silent.
    fn silent_until(&self, from: NodeId, to: NodeId) -> Option<Timestamp> {
        self.net.silent.get(&(from, to)).copied().filter(|until| self.now < *until)
    }

    /// Whether a cut separates two nodes.
    pub(crate) fn is_cut(&self, left: NodeId, right: NodeId) -> bool {
        self.net.cuts.iter().any(|(a, b)| {
            self.covers(a, left) && self.covers_other(b, right, a, left)
                || self.covers(a, right) && self.covers_other(b, left, a, right)
        })
    }

    /// Whether a node cannot reach the log.
    pub(crate) fn is_cut_from_log(&self, node: NodeId) -> bool {
        self.net.cuts.iter().any(|(a, b)| {
            *b == Side::Log && self.covers(a, node) || *a == Side::Log && self.covers(b, node)
        })
    }

    fn covers(&self, side: &Side, node: NodeId) -> bool {
        match side {
            Side::Node(named) => *named == node,
            Side::Zone(zone) => self.members.get(&node).is_some_and(|it| it.zone == *zone),
            Side::Log | Side::Rest => false,
        }
    }

    fn covers_other(&self, side: &Side, node: NodeId, own: &Side, other: NodeId) -> bool {
        match side {
            Side::Rest => node != other && !self.covers(own, node),
            Side::Node(_) | Side::Zone(_) | Side::Log => self.covers(side, node),
        }
    }

    fn side(&self, name: &str) -> Side {
        match self.names.get(name) {
            Some(node) => Side::Node(*node),
            None if name == LOG => Side::Log,
            None if name == REST => Side::Rest,
            None => Side::Zone(name.to_owned()),
        }
    }

    fn delay(&mut self, from: NodeId, to: NodeId) -> Duration {
        let zone = |node| self.members.get(&node).map(|member: &crate::fleet::Member| &member.zone);
        let base = if zone(from) == zone(to) { ZONE_LATENCY } else { CROSS_ZONE_LATENCY };
        base.mul_f64(self.rng.random_range(0.8..1.2))
    }
}
