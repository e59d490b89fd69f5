//! Choice of workers, and their ejection.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use config::Inventory;
use ident::{Group, Incarnation, NodeId, RequestId, Timestamp};
use placement::{CannotFit, Placement, Placer};
use wire::{AgentReport, Load, TaskSpec};

const NOW: Timestamp = Timestamp::from_millis(1_700_000_000_000);
const DECLARED: Duration = Duration::from_millis(100);

/// Two availability zones of two racks each, with three workers of 16 cores a rack.
fn inventory() -> Inventory {
    inventory_with(|_| "accelerators = 0\nstate = \"active\"")
}

fn inventory_with(extra: impl Fn(usize) -> &'static str) -> Inventory {
    let mut text = String::from("[rules]\neject_percent = 30\n");
    for zone in ["mystic-shed", "pier-yard"] {
        text += &format!("[[availability_zones]]\nname = \"{zone}\"\nregion = \"south\"\n");
        for rack in ["a", "b"] {
            text +=
                &format!("[[racks]]\nname = \"{zone}-{rack}\"\navailability_zone = \"{zone}\"\n");
        }
    }
    for index in 0..12 {
        let zone = ["mystic-shed", "pier-yard"][index / 6];
        let rack = ["a", "b"][index / 3 % 2];
        text += &format!(
            "[[workers]]\nname = \"w{index}\"\nrack = \"{zone}-{rack}\"\ncores = 16\n\
             memory_gb = 32\n{}\n",
            extra(index)
        );
    }
    Inventory::parse(&text).unwrap()
}

fn node(index: usize) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16)))
}

fn report(index: usize, busy: u32) -> AgentReport {
    AgentReport {
        node: node(index),
        incarnation: Incarnation(NOW),
        sequence: 1,
        name: format!("w{index}"),
        group: Group::Workers,
        availability_zone: String::new(),
        leaving: false,
        load: Load { busy, slots: 16, ..Load::default() },
        next_offset: 0,
    }
}

fn placer(inventory: &Inventory) -> Placer {
    let mut placer = Placer::new("mystic-shed", 7);
    placer.set_inventory(inventory);
    for index in 0..12 {
        placer.on_report(&report(index, 0), NOW);
    }
    placer
}

fn task(cores: u32) -> TaskSpec {
    TaskSpec { cores, memory_mb: 256, accelerators: 0, run_ms: 100, body: String::new() }
}

fn place(placer: &mut Placer, tasks: &[TaskSpec], now: Timestamp) -> Placement {
    placer.place(&tasks.iter().collect::<Vec<_>>(), now)
}

fn nodes(placement: &Placement) -> BTreeSet<NodeId> {
    placement.choices.iter().flatten().map(|choice| choice.node).collect()
}

fn unplaced(placement: &Placement) -> usize {
    placement.choices.iter().filter(|choice| choice.is_none()).count()
}

fn job(number: u8) -> RequestId {
    RequestId::new(NOW, [number; 10])
}

#[test]
fn packs_a_job_on_few_workers_of_its_own_zone_and_leaves_room_for_others() {
    let mut placer = placer(&inventory());

    let placement = place(&mut placer, &vec![task(1); 16], NOW);

    assert_eq!(unplaced(&placement), 0);
    assert_eq!(nodes(&placement).len(), 4);
    assert!(nodes(&placement).iter().all(|it| *it < node(6)));
}

#[test]
fn fills_workers_when_a_job_needs_all_of_them() {
    let mut placer = placer(&inventory());

    let placement = place(&mut placer, &vec![task(1); 16 * 12 + 1], NOW);

    assert_eq!(unplaced(&placement), 1);
    assert_eq!(nodes(&placement).len(), 12);
}

#[test]
fn keeps_large_gaps_for_large_tasks() {
    let mut placer = placer(&inventory());
    for index in 2..12 {
        placer.remove(node(index));
    }
    let small = place(&mut placer, &[task(4)], NOW);

    let next = place(&mut placer, &[task(4)], NOW);
    let large = place(&mut placer, &[task(16)], NOW);

    assert_eq!(nodes(&next), nodes(&small));
    assert_eq!(unplaced(&large), 0);
}

#[test]
fn reported_load_decays_to_the_average() {
    let mut placer = placer(&inventory());
    for index in 0..12 {
        let busy = if index == 0 { 0 } else { 16 };
        placer.on_report(&report(index, busy), NOW);
    }

    let fresh = place(&mut placer, &[task(1)], NOW);
    let aged = NOW + Duration::from_millis(200);
    let others: BTreeSet<NodeId> =
        (0..20).flat_map(|_| nodes(&place(&mut placer, &[task(1)], aged))).collect();

    assert_eq!(nodes(&fresh), BTreeSet::from([node(0)]));
    assert!(others.len() > 1, "{others:?}");
}

#[test]
fn finds_the_reported_room_for_a_task_larger_than_the_average_room() {
    let mut placer = placer(&inventory());
    for index in 0..12 {
        let busy = if index == 9 { 0 } else { 12 };
        placer.on_report(&report(index, busy), NOW);
    }

    let placement = place(&mut placer, &[task(16)], NOW + Duration::from_millis(500));

    assert_eq!(nodes(&placement), BTreeSet::from([node(9)]));
}

#[test]
fn places_on_a_worker_that_freed_room() {
    let mut placer = placer(&inventory());
    place(&mut placer, &vec![task(16); 12], NOW);
    placer.release(node(7), &task(16));

    let tasks = [&task(16), &task(16)];
    let elsewhere = placer.place_at(node(8), &tasks, NOW);
    let freed = placer.place_at(node(7), &tasks, NOW);

    assert_eq!(unplaced(&elsewhere), 2);
    assert_eq!((unplaced(&freed), nodes(&freed)), (1, BTreeSet::from([node(7)])));
}

#[test]
fn never_places_more_than_a_worker_holds_and_reuses_released_room() {
    let mut placer = placer(&inventory());
    let full = place(&mut placer, &vec![task(8); 30], NOW);
    let first = full.choices[0].unwrap().node;

    let before = place(&mut placer, &[task(8)], NOW);
    placer.release(first, &task(8));
    let after = place(&mut placer, &[task(8)], NOW);

    assert_eq!(unplaced(&full), 30 - 24);
    assert_eq!(unplaced(&before), 1);
    assert_eq!(nodes(&after), BTreeSet::from([first]));
}

#[test]
fn takes_accelerators_for_other_tasks_only_as_a_last_resort() {
    let inventory = inventory_with(|index| match index {
        0 => "accelerators = 2",
        _ => "accelerators = 0",
    });
    let mut placer = placer(&inventory);

    let plain = place(&mut placer, &vec![task(16); 11], NOW);
    let accelerated = place(&mut placer, &[TaskSpec { accelerators: 1, ..task(8) }], NOW);
    let rest = place(&mut placer, &[task(8)], NOW);

    assert!(!nodes(&plain).contains(&node(0)));
    assert_eq!(nodes(&accelerated), BTreeSet::from([node(0)]));
    assert_eq!(nodes(&rest), BTreeSet::from([node(0)]));
}

#[test]
fn skips_draining_leaving_and_dead_workers() {
    let inventory = inventory_with(|index| match index {
        0 => "state = \"draining\"",
        _ => "state = \"active\"",
    });
    let mut placer = placer(&inventory);
    placer.on_report(&AgentReport { leaving: true, ..report(1, 0) }, NOW);
    placer.remove(node(2));

    let placement = place(&mut placer, &vec![task(16); 12], NOW);

    assert_eq!(nodes(&placement), (3..12).map(node).collect());
}

#[test]
fn counts_reported_cores_until_the_report_is_old() {
    let mut placer = placer(&inventory());
    for index in 0..12 {
        placer.on_report(&report(index, 16), NOW);
    }

    let at_once = place(&mut placer, &[task(1)], NOW);
    let later = place(&mut placer, &[task(1)], NOW + Duration::from_secs(2));

    assert_eq!((unplaced(&at_once), unplaced(&later)), (1, 0));
}

#[test]
fn tries_another_worker_after_a_refusal() {
    let mut placer = placer(&inventory());
    let first = place(&mut placer, &[task(4)], NOW).choices[0].unwrap().node;
    placer.release(first, &task(4));
    placer.on_refused(first, &task(4), NOW);

    let second = place(&mut placer, &[task(4)], NOW).choices[0].unwrap().node;

    assert_ne!(second, first);
}

#[test]
fn ejects_a_worker_that_fails_two_jobs_and_then_puts_it_on_probation() {
    let mut placer = placer(&inventory());
    placer.on_failed(node(0), job(1), NOW);
    placer.on_failed(node(0), job(2), NOW);

    let ejected = place(&mut placer, &vec![task(1); 12 * 16], NOW);
    let later = NOW + Duration::from_secs(2);
    let probation = place(&mut placer, &vec![task(1); 16], later);

    assert!(!nodes(&ejected).contains(&node(0)));
    assert_eq!((unplaced(&ejected), unplaced(&probation)), (16, 15));
    assert_eq!(nodes(&probation), BTreeSet::from([node(0)]));
}

#[test]
fn does_not_eject_a_worker_for_one_job_with_a_bad_input() {
    let mut placer = placer(&inventory());
    for _ in 0..5 {
        placer.on_failed(node(0), job(1), NOW);
    }

    let placement = place(&mut placer, &vec![task(16); 12], NOW);

    assert_eq!(unplaced(&placement), 0);
}

#[test]
fn uses_ejected_workers_when_too_many_are_ejected() {
    let mut placer = placer(&inventory());
    for index in 0..12 {
        placer.on_failed(node(index), job(1), NOW);
        placer.on_failed(node(index), job(2), NOW);
    }

    let placement = place(&mut placer, &[task(1)], NOW);

    assert_eq!(unplaced(&placement), 0);
}

#[test]
fn avoids_a_straggler_while_others_have_room() {
    let mut placer = placer(&inventory());
    for number in 1..3 {
        placer.on_done(node(0), job(number), DECLARED, DECLARED * 8, NOW);
    }

    let placement = place(&mut placer, &vec![task(16); 11], NOW);
    let last = place(&mut placer, &[task(16)], NOW);

    assert!(!nodes(&placement).contains(&node(0)));
    assert_eq!(nodes(&last), BTreeSet::from([node(0)]));
}

#[test]
fn names_the_field_and_the_largest_worker_of_a_task_that_can_never_fit() {
    let mut placer = placer(&inventory());
    let too_large = TaskSpec { memory_mb: 40_000, ..task(4) };

    let refused = placer.can_ever_fit(&too_large);
    let full = place(&mut placer, &vec![task(16); 12], NOW);

    let expected = CannotFit {
        field: "memory_mb",
        wanted: 40_000,
        largest: 32 * 1024,
        worker: "w0".to_owned(),
    };
    assert_eq!(refused, Err(expected));
    assert_eq!(unplaced(&full), 0);
    assert_eq!(placer.can_ever_fit(&task(16)), Ok(()));
}
