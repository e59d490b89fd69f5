//! Processor time and traffic of a node, by kind of event.

use std::time::Duration;

use wire::{Datagram, encode};

use super::cores::Cost;

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Processor time and traffic of a node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
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
pub enum DatagramKind {
    /// Heartbeat or load report of an agent.
    Heartbeat,
    /// Gossip of an entry.
    Gossip,
    /// Answer to a heartbeat.
    Ack,
    /// Promise or request for a promise.
    Promise,
}

impl DatagramKind {
    /// Kind of a datagram.
    pub fn of(datagram: &Datagram) -> DatagramKind {
        match datagram {
            Datagram::Heartbeat(_) | Datagram::Load { .. } => DatagramKind::Heartbeat,
            Datagram::Gossip { .. } => DatagramKind::Gossip,
            Datagram::HeartbeatAck { .. } => DatagramKind::Ack,
            Datagram::PromiseRequest { .. } | Datagram::Promise(_) => DatagramKind::Promise,
        }
    }
}

impl Usage {
    /// Total processor time.
    pub fn total(&self) -> Duration {
        let costs = [self.tick, self.heartbeat, self.gossip, self.ack, self.promise, self.read];
        costs.iter().map(|cost| cost.total).sum()
    }

    /// Processor time of received datagrams of a kind.
    pub fn datagrams(&mut self, kind: DatagramKind) -> &mut Cost {
        match kind {
            DatagramKind::Heartbeat => &mut self.heartbeat,
            DatagramKind::Gossip => &mut self.gossip,
            DatagramKind::Ack => &mut self.ack,
            DatagramKind::Promise => &mut self.promise,
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
