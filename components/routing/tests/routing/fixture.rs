//! A service with executors in three availability zones.

use std::net::SocketAddr;

use config::{Inventory, State};
use ident::{Group, Incarnation, NodeId, Timestamp};
use wire::{AgentReport, Load};

pub const SERVICE: &str = "yardbook";

pub fn node(index: usize) -> NodeId {
    NodeId(SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000)))
}

pub fn group() -> Group {
    Group::Service(SERVICE.to_owned())
}

pub fn zone(index: usize) -> &'static str {
    ["mystic-shed", "pier-yard", "lift-bay"][index % 3]
}

pub fn inventory(agents: usize, slots: u32) -> Inventory {
    let mut text = format!(
        "[[services]]\nname = \"{SERVICE}\"\n[[urgencies]]\nname = \"urgent\"\nrank = 0\ndeadline_ms = 2000\n"
    );
    for index in 0..3 {
        let name = zone(index);
        text += &format!("[[availability_zones]]\nname = \"{name}\"\nregion = \"coast\"\n");
    }
    for index in 0..agents {
        let zone = zone(index);
        text += &format!(
            "[[executors]]\nname = \"e{index}\"\nservice = \"{SERVICE}\"\navailability_zone = \"{zone}\"\nslots = {slots}\nconnections = 60\n"
        );
    }
    Inventory::parse(&text).expect("the inventory is valid")
}

pub fn report(index: usize, sequence: u64, load: Load) -> AgentReport {
    AgentReport {
        node: node(index),
        incarnation: Incarnation(Timestamp::from_millis(1)),
        sequence,
        name: format!("e{index}"),
        group: group(),
        availability_zone: zone(index).to_owned(),
        leaving: false,
        load,
        next_offset: 0,
    }
}

pub fn leaving(report: AgentReport) -> AgentReport {
    AgentReport { leaving: true, ..report }
}

/// The inventory with one executor draining.
pub fn draining(inventory: &Inventory, name: &str) -> Inventory {
    let mut inventory = inventory.clone();
    for executor in inventory.executors.iter_mut().filter(|it| it.name == name) {
        executor.state = State::Draining;
    }
    inventory
}
