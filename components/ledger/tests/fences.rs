//! Faults under which two nodes would decide for one id if a rule were missing.
//!
//! The first three tests also run without their rule, to show that they detect its
//! absence.

mod world;

use std::time::Duration;

use ident::{NodeId, RequestId, Shard};

use world::{Defect, World, group, node};

/// Seed of every test.
const SEED: u64 = 7;

fn deputy_of(world: &World, id: RequestId) -> Option<NodeId> {
    world.log.table().get(&group(), Shard::of(id)).and_then(|it| it.deputy)
}

/// An owner's append that replaces its deputy arrives long after the owner has died.
/// The restarted owner and the former deputy cannot read the log, so they do not know
/// of the new deputy.
fn deciders_after_a_late_appointment(defect: Defect) -> usize {
    let mut world = World::assigned(4, SEED, defect);
    let early = world.make_id_in(|_, it| it.owner == node(0) && it.deputy == Some(node(1)));
    let shard = Shard::of(early);
    world.append_delay = Duration::from_secs(10);
    world.hosts[1].is_paused = true;
    world.advance(Duration::from_millis(1400));
    world.append_delay = Duration::ZERO;
    world.kill(0);
    world.start(0);
    world.resume(1);
    world.advance(Duration::from_secs(5));
    for host in [0, 1] {
        world.hosts[host].log_unreachable = true;
        world.hosts[host].cut_links = vec![2, 3];
    }
    let request = world.promise_request(0);

    world.advance(Duration::from_secs(6));
    let deputy = deputy_of(&world, early);
    let deputy =
        (2..4).find(|host| deputy == Some(node(*host))).expect("append has not reached the log");
    world.network.send_after(deputy, request, world.now, Duration::ZERO);
    world.advance(Duration::from_secs(3));

    let late = world.make_id_in(|it, _| it == shard);
    world.deciders(late).len()
}

#[test]
fn a_deputy_that_the_owner_does_not_know_does_not_take_over() {
    assert_eq!(deciders_after_a_late_appointment(Defect::None), 1);
    assert_eq!(deciders_after_a_late_appointment(Defect::UnknownDeputy), 2);
}

/// An owner replaces its deputy and restarts. It then reaches only the former deputy,
/// which does not know that it was replaced.
fn deciders_after_a_restart_with_a_stale_deputy(defect: Defect) -> usize {
    let mut world = World::assigned(4, SEED, defect);
    let early = world.make_id_in(|_, it| it.owner == node(0) && it.deputy == Some(node(1)));
    let shard = Shard::of(early);
    world.hosts[1].is_paused = true;
    world.advance(Duration::from_secs(4));
    for host in [0, 1] {
        world.hosts[host].log_unreachable = true;
        world.hosts[host].cut_links = vec![2, 3];
    }
    world.kill(0);
    world.start(0);
    world.resume(1);

    world.advance(Duration::from_secs(6));

    let late = world.make_id_in(|it, _| it == shard);
    world.deciders(late).len()
}

#[test]
fn a_restarted_owner_trusts_no_table_that_is_older_than_its_start() {
    assert_eq!(deciders_after_a_restart_with_a_stale_deputy(Defect::None), 1);
    assert_eq!(deciders_after_a_restart_with_a_stale_deputy(Defect::ReadBeforeStart), 2);
}

/// A deputy takes over from a paused owner. The owner resumes, unaware of the change, and
/// requests a promise, which the deputy grants for other shards.
fn most_deciders_after_the_predecessor_resumes(defect: Defect) -> usize {
    let mut world = World::assigned(4, SEED, defect);
    let early = world.make_id_in(|_, it| it.owner == node(0) && it.deputy == Some(node(1)));
    let shard = Shard::of(early);
    world.hosts[0].is_paused = true;
    world.advance(Duration::from_secs(6));
    world.hosts[0].log_unreachable = true;
    world.hosts[0].cut_links = vec![2, 3];
    world.resume(0);

    let deciders = (0..40).map(|_| {
        world.advance(Duration::from_millis(10));
        let late = world.make_id_in(|it, _| it == shard);
        world.deciders(late).len()
    });

    deciders.max().unwrap_or_default()
}

#[test]
fn a_promise_based_on_a_newer_table_does_not_count() {
    assert_eq!(most_deciders_after_the_predecessor_resumes(Defect::None), 1);
    assert_eq!(most_deciders_after_the_predecessor_resumes(Defect::IgnoredOffset), 2);
}

/// An owner stops and starts again while its hand-over to host 1 is in transit.
fn world_with_a_late_hand_over() -> (World, Shard, world::Message) {
    let mut world = World::assigned(4, SEED, Defect::None);
    let early = world.make_id_in(|_, it| it.owner == node(0) && it.deputy == Some(node(1)));
    world.hosts[0].cut_links = vec![1, 2, 3];
    world.stop(0);
    let (_, message) = world.hand_overs(0).into_iter().find(|(to, _)| *to == node(1)).unwrap();
    world.kill(0);
    world.hosts[0].cut_links = Vec::new();
    world.start(0);
    world.advance(Duration::from_secs(4));
    (world, Shard::of(early), message)
}

/// Delivers a delayed hand-over; returns the hosts that decide for an id created before it
/// arrived.
fn deciders_after(world: &mut World, shard: Shard, message: world::Message) -> Vec<usize> {
    let id = world.make_id_in(|it, _| it == shard);
    assert_eq!(world.deciders(id), [0]);
    world.network.send_after(1, message, world.now, Duration::ZERO);
    world.advance(Duration::from_secs(2));
    world.deciders(id)
}

#[test]
fn a_ledger_of_an_owner_that_has_started_again_is_not_accepted() {
    let (mut world, shard, message) = world_with_a_late_hand_over();

    let deciders = deciders_after(&mut world, shard, message);

    assert_eq!(deciders, [0]);
}

#[test]
fn a_ledger_for_an_earlier_start_of_the_deputy_is_not_accepted() {
    let (mut world, shard, message) = world_with_a_late_hand_over();
    world.kill(1);
    world.start(1);
    world.hosts[0].log_unreachable = true;
    world.hosts[1].cut_links = vec![0];
    world.advance(Duration::from_millis(900));

    let deciders = deciders_after(&mut world, shard, message);

    assert_eq!(deciders, [0]);
}
