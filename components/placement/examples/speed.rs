//! Measures the time to place jobs of 340 tasks on 1,200 workers of 64 cores.

use std::{net::SocketAddr, time::Instant};

use config::Inventory;
use ident::{Group, Incarnation, NodeId, Timestamp};
use placement::Placer;
use wire::{AgentReport, Load, TaskSpec};

const WORKERS: u16 = 1200;
const TASKS: u32 = 340;
const ROUNDS: u32 = 200;
const NOW: Timestamp = Timestamp::from_millis(1_700_000_000_000);

fn main() {
    let tasks: Vec<TaskSpec> = (0..TASKS).map(task).collect();
    let tasks: Vec<&TaskSpec> = tasks.iter().collect();

    let mut placer = placer();
    measure("empty cluster", &mut placer, &tasks);
    while placer.place(&tasks, NOW).choices.iter().all(Option::is_some) {}
    measure("full cluster", &mut placer, &tasks);
}

/// Places and releases the tasks repeatedly and prints the mean time of one.
fn measure(name: &str, placer: &mut Placer, tasks: &[&TaskSpec]) {
    let began = Instant::now();
    let mut placed = 0;
    for _ in 0..ROUNDS {
        let placement = placer.place(tasks, NOW);
        for (choice, task) in placement.choices.iter().zip(tasks) {
            let Some(choice) = choice else { continue };
            placer.release(choice.node, task);
            placed += 1;
        }
    }
    let micros = began.elapsed().as_secs_f64() * 1e6;
    let per_task = micros / f64::from(ROUNDS * TASKS);
    println!("{name}: {per_task:.2} us a task, {placed} of {} placed", ROUNDS * TASKS);
}

fn placer() -> Placer {
    let mut placer = Placer::new("mystic-shed", 1);
    placer.set_inventory(&inventory());
    for index in 0..WORKERS {
        placer.on_report(&report(index), NOW);
    }
    placer
}

fn inventory() -> Inventory {
    let mut text = String::new();
    for zone in ["mystic-shed", "pier-yard", "lift-bay"] {
        text += &format!("[[availability_zones]]\nname = \"{zone}\"\nregion = \"south\"\n");
    }
    for rack in 0..WORKERS / 3 {
        let zone = ["mystic-shed", "pier-yard", "lift-bay"][usize::from(rack % 3)];
        text += &format!("[[racks]]\nname = \"r{rack}\"\navailability_zone = \"{zone}\"\n");
    }
    for index in 0..WORKERS {
        let rack = index / 3;
        text += &format!(
            "[[workers]]\nname = \"w{index}\"\nrack = \"r{rack}\"\ncores = 64\nmemory_gb = 256\n"
        );
    }
    Inventory::parse(&text).expect("the inventory is valid")
}

fn report(index: u16) -> AgentReport {
    AgentReport {
        node: NodeId(SocketAddr::from(([127, 0, 0, 1], 7000 + index))),
        incarnation: Incarnation(NOW),
        sequence: 1,
        name: format!("w{index}"),
        group: Group::Workers,
        availability_zone: String::new(),
        leaving: false,
        load: Load { busy: 0, slots: 64, ..Load::default() },
        next_offset: 0,
    }
}

/// A task; sizes differ by index.
fn task(index: u32) -> TaskSpec {
    let cores = 1 + index % 8;
    let memory_mb = 256 + index * 32;
    TaskSpec { cores, memory_mb, accelerators: 0, run_ms: 100, body: String::new() }
}
