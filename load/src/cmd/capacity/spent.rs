//! Processor time and traffic of a node, by kind of event.

use std::time::Duration;

use wire::{Datagram, encode};

use super::cores::Cost;

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Processor time and traffic of a node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spent {
    /// Processor time of ticks.
    pub tick: Cost,
    /// Processor time of received heartbeats and load reports.
    pub heartbeat: Cost,
    /// Processor time of received gossip.
    pub gossip: Cost,
    /// Processor time of received answers to heartbeats.
    pub ack: Cost,
    /// Processor time of received promises and requests for promises.
    pub promise: Cost,
    /// Processor time of log reads without new records.
    pub read: Cost,
    /// Datagrams sent.
    pub sent: Traffic,
    /// Datagrams received.
    pub received: Traffic,
    /// Records that the node would append; they are discarded.
    pub appended: u32,
}

/// Number and size of datagrams, headers included.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Number of datagrams.
    pub count: usize,
    /// Total bytes.
    pub bytes: usize,
}

/// Kind of datagram.
#[derive(Debug, Clone, Copy)]
pub enum Sort {
    /// Heartbeat or load report of an agent.
    Heartbeat,
    /// Gossip of an entry.
    Gossip,
    /// Answer to a heartbeat.
    Ack,
    /// Promise or request for a promise.
    Promise,
}

impl Sort {
    /// Kind of a datagram.
    pub fn of(datagram: &Datagram) -> Sort {
        match datagram {
            Datagram::Heartbeat(_) | Datagram::Load { .. } => Sort::Heartbeat,
            Datagram::Gossip { .. } => Sort::Gossip,
            Datagram::HeartbeatAck { .. } => Sort::Ack,
            Datagram::PromiseRequest { .. } | Datagram::Promise(_) => Sort::Promise,
        }
    }
}

impl Spent {
    /// Total processor time.
    pub fn total(&self) -> Duration {
        let costs = [self.tick, self.heartbeat, self.gossip, self.ack, self.promise, self.read];
        costs.iter().map(|cost| cost.total).sum()
    }

    /// Processor time of received datagrams of a kind.
    pub fn sort(&mut self, sort: Sort) -> &mut Cost {
        match sort {
            Sort::Heartbeat => &mut self.heartbeat,
            Sort::Gossip => &mut self.gossip,
            Sort::Ack => &mut self.ack,
            Sort::Promise => &mut self.promise,
        }
    }
}

impl Traffic {
    /// Adds a datagram.
    pub fn add(&mut self, datagram: &Datagram) {
        self.count += 1;
        self.bytes += encode(datagram).len() + HEADER_BYTES;
    }
}
