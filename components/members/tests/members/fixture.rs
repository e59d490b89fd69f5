//! Builders for addresses and reports of test agents.

use std::{net::SocketAddr, time::Duration};

use ident::{Group, Incarnation, NodeId, Timestamp};
use wire::{AgentReport, Load};

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_764_000_000_000 + millis)
}

pub fn entry(index: usize) -> NodeId {
    NodeId(SocketAddr::from(([10, 1, 0, index as u8], 7000)))
}

pub fn agent(index: usize) -> NodeId {
    NodeId(SocketAddr::from(([10, 2, (index / 250) as u8, (index % 250) as u8], 7000)))
}

pub fn group(index: usize) -> Group {
    match index % 2 {
        0 => Group::Service("yardbook".to_owned()),
        _ => Group::Workers,
    }
}

pub fn report(index: usize, zone: &str, sequence: u64) -> AgentReport {
    AgentReport {
        node: agent(index),
        incarnation: Incarnation(at(0)),
        sequence,
        name: format!("{zone}-rack-{index}"),
        group: group(index),
        availability_zone: zone.to_owned(),
        leaving: false,
        load: Load { busy: 5, slots: 8, queued: 3, backlog: Duration::from_micros(1_234_567) },
        next_offset: 70_000,
    }
}
