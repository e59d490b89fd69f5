//! Synthetic systems with a given number of workers.

use std::{net::SocketAddr, sync::Arc};

use config::{
    AvailabilityZone, Executor, Inventory, Kind, Rack, Service, State as Activity, Team, Urgency,
    Worker,
};
use eyre::{Result, eyre};
use ident::{Group, Incarnation, NodeId, Shard, Timestamp};
use register::{Applied, Assignment, Record, State};
use uuid::Uuid;
use wire::{AgentReport, Load};

/// Number of entries; each has an availability zone of its own.
pub const ENTRIES: u32 = 11;
/// Start time of every node.
pub const START: Timestamp = Timestamp::from_millis(1_800_000_000_000);
/// Number of workers at full size.
pub const FULL_WORKERS: u32 = 1200;

const FULL_TEAMS: u32 = 340;
const REGIONS: u32 = 3;
const SERVICES: u32 = 4;
const WORKERS_PER_RACK: u32 = 20;
const WORKERS_PER_EXECUTOR: u32 = 30;
const PORT: u16 = 7400;

/// Inventory with `workers` workers; racks, teams and executors grow in proportion.
pub fn inventory(workers: u32) -> Inventory {
    let zones = (0..ENTRIES).map(|index| AvailabilityZone {
        name: zone(index),
        region: format!("region-{}", index % REGIONS),
    });
    let racks = workers.div_ceil(WORKERS_PER_RACK);
    let racks = (0..racks).map(|index| Rack { name: rack(index), availability_zone: zone(index) });
    let teams = (workers * FULL_TEAMS / FULL_WORKERS).max(1);
    let teams = (0..teams).map(|index| Team {
        name: format!("team-{index:03}"),
        starts_per_s: 1_000_000,
        burst: 1_000_000,
    });
    Inventory {
        availability_zones: zones.collect(),
        racks: racks.collect(),
        urgencies: vec![Urgency { name: "urgent".to_owned(), rank: 1, deadline_ms: 3000 }],
        services: (0..SERVICES).map(|index| Service { name: service(index) }).collect(),
        kinds: (0..SERVICES).flat_map(kinds).collect(),
        executors: (0..executors(workers)).map(executor).collect(),
        workers: (0..workers).map(worker).collect(),
        teams: teams.collect(),
        ..Inventory::default()
    }
}

/// State with the inventory in force and an owner for every shard.
pub fn state(workers: u32) -> Result<State> {
    let mut state = State::default();
    let text = inventory(workers).to_toml();
    let record = Record::Config { record: Uuid::from_u128(1), base: 0, text };
    match state.apply(1, &record) {
        Applied::Config { .. } => {}
        other => return Err(eyre!("the synthetic inventory is not accepted: {other:?}")),
    }
    let groups = (0..SERVICES).map(|index| Group::Service(service(index)));
    for (group, offset) in groups.chain([Group::Workers]).zip(2..) {
        state.apply(offset, &assign(&group, workers));
    }
    Ok(state)
}

/// Reports of all agents, workers first.
pub fn reports(workers: u32) -> Vec<AgentReport> {
    let inventory = inventory(workers);
    let of_workers = inventory.workers.iter().map(|it| {
        let zone = inventory.rack_zone(&it.rack).unwrap_or_default();
        (it.name.clone(), Group::Workers, zone.to_owned(), it.cores)
    });
    let of_executors = inventory.executors.iter().map(|it| {
        let group = Group::Service(it.service.clone());
        (it.name.clone(), group, it.availability_zone.clone(), it.slots)
    });
    let all = of_workers.chain(of_executors).enumerate();
    all.map(|(index, (name, group, availability_zone, slots))| AgentReport {
        node: agent(index as u32),
        incarnation: Incarnation(START),
        sequence: 0,
        name,
        group,
        availability_zone,
        leaving: false,
        load: Load { slots, ..Load::default() },
        next_offset: NEXT_OFFSET,
    })
    .collect()
}

/// State shared by all nodes of one process.
pub fn shared_state(workers: u32) -> Result<Arc<State>> {
    state(workers).map(Arc::new)
}

/// Offset after the records of [`state`].
pub const NEXT_OFFSET: u64 = 2 + SERVICES as u64 + 1;

/// Address of an entry.
pub fn entry(index: u32) -> NodeId {
    NodeId(SocketAddr::from(([10, 1, 0, index as u8], PORT)))
}

/// Address of an agent.
pub fn agent(index: u32) -> NodeId {
    NodeId(SocketAddr::from(([10, 2, (index / 250) as u8, (index % 250) as u8], PORT)))
}

/// Name of an availability zone.
pub fn zone(index: u32) -> String {
    format!("zone-{:02}", index % ENTRIES)
}

/// Name of a service.
pub fn service(index: u32) -> String {
    format!("service-{}", index % SERVICES)
}

fn executors(workers: u32) -> u32 {
    (workers / WORKERS_PER_EXECUTOR).max(2 * SERVICES)
}

fn rack(index: u32) -> String {
    format!("rack-{index:03}")
}

fn kinds(index: u32) -> [Kind; 2] {
    let kind = |name: &str, idempotent| Kind {
        service: service(index),
        name: name.to_owned(),
        idempotent,
        urgency: "urgent".to_owned(),
        run_ms: 100,
    };
    [kind("check", true), kind("reserve", false)]
}

fn executor(index: u32) -> Executor {
    Executor {
        name: format!("executor-{index:04}"),
        service: service(index),
        availability_zone: zone(index),
        slots: 8,
        connections: 60,
        state: Activity::Active,
    }
}

/// Worker with two accelerators, every twelfth with one: 2,300 on 1,200 workers.
fn worker(index: u32) -> Worker {
    Worker {
        name: format!("worker-{index:04}"),
        rack: rack(index / WORKERS_PER_RACK),
        cores: 64,
        memory_gb: 256,
        accelerators: if index.is_multiple_of(12) { 1 } else { 2 },
        state: Activity::Active,
    }
}

/// Assigns the group's shards to its agents round-robin.
fn assign(group: &Group, workers: u32) -> Record {
    let members: Vec<NodeId> =
        reports(workers).iter().filter(|it| it.group == *group).map(|it| it.node).collect();
    let count = members.len();
    let shards = Shard::all().map(|shard| {
        let index = shard.index();
        let assignment = Assignment {
            epoch: 1,
            owner: members[index % count],
            deputy: Some(members[(index + 1) % count]),
            from: START,
            grace: START,
        };
        (shard, assignment)
    });
    Record::Assign {
        record: Uuid::new_v4(),
        by: members[0],
        group: group.clone(),
        shards: shards.collect(),
    }
}
