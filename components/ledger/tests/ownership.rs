//! Ownership of shards under faults: which node decides for an id, and when none does.

mod world;

use std::time::Duration;

use ident::{NodeId, RequestId, Shard};
use ledger::Entry;
use tenure::{Authority, TABLE_TERM};

use world::{Defect, World, group, node};

/// Seed of every test.
const SEED: u64 = 7;

/// Interval at which the tests check which nodes decide.
const STEP: Duration = Duration::from_millis(50);

fn assigned() -> World {
    World::assigned(3, SEED, Defect::None)
}

/// Whether exactly one node decides for a new id in each shard.
fn all_decided(world: &mut World) -> bool {
    Shard::all().all(|shard| {
        let id = world.make_id_in(|it, _| it == shard);
        world.deciders(id).len() == 1
    })
}

/// Whether exactly one node decides for every sampled new id throughout the given time.
fn stays_decided(world: &mut World, time: Duration) -> bool {
    let end = world.now + time;
    while world.now < end {
        let id = world.make_id_in(|_, _| true);
        if world.deciders(id).len() != 1 {
            return false;
        }
        world.advance(STEP);
    }
    true
}

/// Submits the id to host 0 until its endpoint accepts it.
fn submit_until_started(world: &mut World, id: RequestId) {
    for _ in 0..20 {
        if world.audit.started(id) {
            return;
        }
        world.submit(0, id);
    }
    panic!("{id} was not started in 20 submissions");
}

fn shards_of(world: &World, owner: NodeId) -> Vec<Shard> {
    let table = world.log.table();
    table.group(&group()).filter(|(_, it)| it.owner == owner).map(|(shard, _)| shard).collect()
}

#[test]
fn assigns_an_empty_log_and_refuses_nothing_without_faults() {
    let mut world = World::empty(3, SEED, Defect::None);

    world.advance(Duration::from_secs(6));

    assert!(all_decided(&mut world));
    assert!(stays_decided(&mut world, Duration::from_secs(20)));
}

#[test]
fn appends_nothing_without_faults() {
    let mut world = assigned();
    let before = world.log.next_offset();

    world.advance(Duration::from_secs(60));

    assert_eq!(world.log.next_offset(), before);
}

#[test]
fn the_deputy_takes_over_after_the_owner_died() {
    let mut world = assigned();
    let old = world.make_id_in(|_, it| it.owner == node(0));
    submit_until_started(&mut world, old);

    world.kill(0);
    world.advance(Duration::from_secs(4));

    assert!(world.deciders(old).is_empty());
    assert!(all_decided(&mut world));
}

#[test]
fn the_deputies_of_two_owners_that_died_together_take_over() {
    let mut world = World::assigned(4, SEED, Defect::None);

    world.kill(0);
    world.kill(1);
    world.advance(Duration::from_secs(5));
    let id = world.make_id_in(|_, it| it.owner == node(2) || it.owner == node(3));

    assert_eq!(world.deciders(id).len(), 1);
}

#[test]
fn an_owner_and_deputy_that_died_together_are_replaced_after_the_table_term() {
    let mut world = assigned();
    let id = world.make_id_in(|_, it| it.owner == node(0) && it.deputy == Some(node(1)));
    let shard = Shard::of(id);

    world.kill(0);
    world.kill(1);
    world.advance(Duration::from_secs(30));
    let refused = world.make_id_in(|it, _| it == shard);
    let is_refused = world.deciders(refused).is_empty();
    world.advance_slowly(TABLE_TERM);
    world.advance(Duration::from_secs(2));
    let decided = world.make_id_in(|it, _| it == shard);

    assert!(is_refused);
    assert!(world.deciders(refused).is_empty());
    assert_eq!(world.deciders(decided), [2]);
}

#[test]
fn a_dead_deputy_is_replaced_before_its_last_promise_expires() {
    let mut world = assigned();
    let own = shards_of(&world, node(0));

    world.kill(1);
    let mut is_refused = false;
    for _ in 0..100 {
        let id = world.make_id_in(|shard, _| own.contains(&shard));
        is_refused |= world.deciders(id).is_empty();
        world.advance(STEP);
    }

    assert!(!is_refused);
}

#[test]
fn a_single_owner_continues_without_a_deputy() {
    let mut world = World::assigned(2, SEED, Defect::None);

    world.kill(1);
    world.advance(Duration::from_secs(6));

    assert!(all_decided(&mut world));
}

#[test]
fn a_restart_of_the_deputy_causes_no_refusal() {
    let mut world = assigned();

    world.kill(1);
    world.start(1);
    let mut is_refused = false;
    for _ in 0..100 {
        let id = world.make_id_in(|_, it| it.owner == node(0));
        is_refused |= world.deciders(id).is_empty();
        world.advance(STEP);
    }

    assert!(!is_refused);
}

#[test]
fn an_outage_of_the_log_refuses_nothing_until_the_table_term_ends() {
    let mut world = assigned();
    world.log.is_up = false;

    let is_decided = stays_decided(&mut world, TABLE_TERM - Duration::from_secs(5));
    world.advance(Duration::from_secs(10));
    let id = world.make_id_in(|_, _| true);

    assert!(is_decided);
    assert!(world.deciders(id).is_empty());
}

#[test]
fn decisions_resume_after_an_outage_of_the_log() {
    let mut world = assigned();
    world.log.is_up = false;
    world.advance_slowly(TABLE_TERM + Duration::from_secs(10));

    world.log.is_up = true;
    world.advance(Duration::from_secs(6));

    assert!(all_decided(&mut world));
}

#[test]
fn a_restarted_owner_decides_for_new_ids_soon() {
    let mut world = assigned();
    let old = world.make_id_in(|_, it| it.owner == node(0));

    world.kill(0);
    world.start(0);
    world.advance(Duration::from_secs(4));

    assert!(world.deciders(old).is_empty());
    assert!(all_decided(&mut world));
}

#[test]
fn an_owner_restarted_in_an_outage_waits_for_the_log() {
    let mut world = assigned();
    world.log.is_up = false;
    world.kill(0);
    world.start(0);

    world.advance(Duration::from_secs(30));
    let during = world.make_id_in(|_, it| it.owner == node(0));
    let decided_during = world.deciders(during);
    world.log.is_up = true;
    world.advance(Duration::from_secs(4));

    assert!(decided_during.is_empty());
    assert!(all_decided(&mut world));
}

#[test]
fn other_owners_continue_while_one_restarts_in_an_outage() {
    let mut world = assigned();
    world.log.is_up = false;

    world.kill(0);
    world.start(0);
    world.advance(Duration::from_secs(30));
    let id = world.make_id_in(|_, it| it.owner == node(1) && it.deputy == Some(node(2)));

    assert_eq!(world.deciders(id), [1]);
}

#[test]
fn a_graceful_stop_hands_over_ids_and_ownership() {
    let mut world = assigned();
    let old = world.make_id_in(|_, it| it.owner == node(0) && it.deputy == Some(node(1)));
    submit_until_started(&mut world, old);

    world.stop(0);
    world.advance(Duration::from_secs(2));

    assert_eq!(world.deciders(old), [1]);
    assert!(matches!(world.entry(1, old), Some(Entry::Finished(_))));
    assert!(all_decided(&mut world));
}

#[test]
fn nodes_that_stop_one_after_the_other_lose_no_id() {
    let mut world = World::assigned(4, SEED, Defect::None);
    let old = world.make_id_in(|_, it| it.owner == node(0));
    submit_until_started(&mut world, old);

    for host in 0..4 {
        world.stop(host);
        world.advance(Duration::from_secs(5));
        world.start(host);
        world.advance(Duration::from_secs(10));
    }

    let owners = world.deciders(old);
    assert_eq!(owners.len(), 1);
    assert!(matches!(world.entry(owners[0], old), Some(Entry::Finished(_))));
    assert!(all_decided(&mut world));
}

#[test]
fn an_owner_paused_beyond_its_promises_decides_nothing_new() {
    let mut world = assigned();

    world.hosts[0].is_paused = true;
    world.advance(Duration::from_secs(1));
    let during = world.make_id_in(|_, it| it.owner == node(0));
    world.advance(Duration::from_secs(9));
    let after = world.make_id_in(|shard, _| shard == Shard::of(during));
    world.hosts[0].is_paused = false;

    assert_eq!(world.authority(0, after), Some(Authority::PastHorizon));
    assert_eq!(world.deciders(after).len(), 1);
}

#[test]
fn a_pause_shorter_than_the_promise_causes_no_refusal() {
    let mut world = assigned();

    world.hosts[0].is_paused = true;
    world.advance(Duration::from_millis(800));
    world.resume(0);
    let id = world.make_id_in(|_, it| it.owner == node(0));

    assert_eq!(world.deciders(id), [0]);
}

#[test]
fn owners_and_deputies_are_in_different_availability_zones() {
    let mut world = World::empty(4, SEED, Defect::None);
    let zone = |host: usize| ["suva-a", "suva-b"][host % 2];
    for host in &mut world.hosts {
        let process = host.process.as_mut().expect("process is not running");
        (0..4).for_each(|other| process.tenure.set_zone(node(other), zone(other)));
    }

    world.advance(Duration::from_secs(6));

    let zone_of = |owner: NodeId| (0..4).filter(move |it| node(*it) == owner).map(zone).next();
    let table = world.log.table();
    assert!(table.is_complete(&group()));
    for (_, assignment) in table.group(&group()) {
        let deputy = assignment.deputy.expect("shard has no deputy");
        assert_ne!(zone_of(assignment.owner), zone_of(deputy));
    }
}
