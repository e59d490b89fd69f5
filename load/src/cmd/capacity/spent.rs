//! What a node spends, by the sort of what it handles.

use std::time::Duration;

use wire::{Datagram, encode};

use super::cores::Cost;

/// Bytes that IP and UDP add to a datagram.
const HEADER_BYTES: usize = 28;

/// What a node has spent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spent {
    /// Ticks.
    pub tick: Cost,
    /// Heartbeats that were taken.
    pub heartbeat: Cost,
    /// Gossip that was taken.
    pub gossip: Cost,
    /// Answers to heartbeats that were taken.
    pub ack: Cost,
    /// Promises and requests for them that were taken.
    pub promise: Cost,
    /// Reads of the log that showed nothing new.
    pub read: Cost,
    /// Datagrams sent.
    pub sent: Traffic,
    /// Datagrams received.
    pub received: Traffic,
    /// Records to append, which are not appended here.
    pub appended: u32,
}

/// Datagrams, with their headers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Number of datagrams.
    pub count: usize,
    /// Bytes of all together.
    pub bytes: usize,
}

/// Sort of datagram.
#[derive(Debug, Clone, Copy)]
pub enum Sort {
    /// Heartbeat of an agent, or its load.
    Heartbeat,
    /// Gossip of an entry.
    Gossip,
    /// Answer to a heartbeat.
    Ack,
    /// Promise or request for one.
    Promise,
}

impl Sort {
    /// Sort that counts with the datagram.
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
    /// Processor time of everything.
    pub fn total(&self) -> Duration {
        let costs = [self.tick, self.heartbeat, self.gossip, self.ack, self.promise, self.read];
        costs.iter().map(|cost| cost.total).sum()
    }

    /// Cost of a sort of datagrams.
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
    /// Counts a datagram.
    pub fn add(&mut self, datagram: &Datagram) {
        self.count += 1;
        self.bytes += encode(datagram).len() + HEADER_BYTES;
    }
}
