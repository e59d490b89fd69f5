//! Tests with more agents than an entry watches on a calm day.

use broker::{MIN_WATCHED, Submission};
use mesh::End;

use crate::fixture::{Fixture, step, submission};

const AGENTS: u8 = 100;

/// An entry before a large, idle fleet, after some calm seconds.
fn calm_fixture() -> Fixture {
    let mut fixture = Fixture::new(AGENTS);
    fixture.advance(10_000);
    fixture
}

/// Number of probes that each agent receives in `ms`.
fn probes_in(fixture: &mut Fixture, ms: u64) -> Vec<usize> {
    let before: Vec<_> = fixture.agents.values().map(|it| it.probes).collect();
    fixture.advance(ms);
    let agents = fixture.agents.values().zip(before);
    agents.map(|(agent, before)| agent.probes - before).collect()
}

#[test]
fn a_calm_entry_probes_a_subset_of_a_large_fleet_often_and_the_rest_rarely() {
    let mut fixture = calm_fixture();

    let probes = probes_in(&mut fixture, 2_000);

    let often = probes.iter().filter(|it| **it >= 10).count();
    assert_eq!(often, MIN_WATCHED);
    assert!(probes.iter().all(|it| *it >= 1), "{probes:?}");
    assert!(probes.iter().sum::<usize>() < 2 * usize::from(AGENTS) * 4, "{probes:?}");
}

#[test]
fn all_agents_of_a_small_fleet_are_watched() {
    let mut fixture = Fixture::new(MIN_WATCHED as u8);
    fixture.advance(10_000);

    let probes = probes_in(&mut fixture, 1_000);

    assert!(probes.iter().all(|it| *it >= 5), "{probes:?}");
}

#[test]
fn entries_watch_different_agents() {
    let watched = |seed| {
        let mut fixture = Fixture::starting(AGENTS, |_| true);
        fixture.restart(seed);
        fixture.advance(12_000);
        probes_in(&mut fixture, 1_000).iter().map(|it| *it >= 5).collect::<Vec<_>>()
    };

    assert_ne!(watched(21), watched(22));
}

#[test]
fn a_job_too_large_for_the_watched_agents_gets_capacity_of_the_others_at_once() {
    let mut fixture = calm_fixture();
    let tasks = MIN_WATCHED as u16 + 20;

    let request = fixture.submit(submission(1, vec![step(tasks, 1_000)]));

    assert_eq!(fixture.answer(request), None);
    assert_eq!(fixture.runs().len(), usize::from(tasks));
}

#[test]
fn a_burst_beyond_the_watched_agents_is_not_refused() {
    let mut fixture = calm_fixture();

    let requests: Vec<_> =
        (1..=90).map(|job| fixture.submit(submission(job, vec![step(1, 1_000)]))).collect();

    let refused = requests.iter().filter(|it| fixture.answer(**it).is_some()).count();
    assert_eq!(refused, 0);
    assert_eq!(fixture.runs().len(), 90);
}

#[test]
fn agents_with_runs_stay_watched() {
    let mut fixture = calm_fixture();
    let subset: Vec<_> = probes_in(&mut fixture, 1_000).iter().map(|it| *it >= 5).collect();
    let tasks = MIN_WATCHED as u16 + 20;
    let job = Submission { timeout: 60_000, ..submission(1, vec![step(tasks, 1_000)]) };
    fixture.submit(job);
    let in_subset: Vec<_> =
        fixture.agents.keys().zip(&subset).filter(|(_, it)| **it).map(|(at, _)| *at).collect();
    for (at, key) in fixture.runs().into_iter().filter(|(at, _)| in_subset.contains(at)) {
        fixture.end(at, key, End::Done);
    }
    fixture.advance(10_000);

    let probes = probes_in(&mut fixture, 1_000);

    let busy = fixture.agents.values().map(|it| !it.runs.is_empty());
    let of_busy: Vec<_> = probes.iter().zip(busy).filter(|(_, it)| *it).map(|it| it.0).collect();
    assert_eq!(of_busy.len(), 20);
    assert!(of_busy.iter().all(|it| **it >= 7), "{of_busy:?}");
}

#[test]
fn watches_more_agents_while_little_of_their_capacity_is_free() {
    let mut fixture = calm_fixture();
    fixture.submit(submission(1, vec![step(MIN_WATCHED as u16, 900)]));

    let probes = probes_in(&mut fixture, 1_000);

    let often = probes.iter().filter(|it| **it >= 5).count();
    assert!(often > MIN_WATCHED, "{often} agents are probed often");
}
