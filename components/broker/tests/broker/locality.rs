//! Tests of tasks that name the rack of their data: a rack that many jobs name at once.

use std::collections::BTreeMap;

use broker::{Step, Submission};
use mesh::{End, Uptime};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::fixture::{CAPACITY, Fixture, address, step, submission};

/// Run time of a task on the rack of its data, in ms; the fixture declares it.
const RUN_MS: u64 = 200;
/// Run time away from the rack, in percent.
const REMOTE_PERCENT: u32 = 150;
/// The same where a rack is in demand for long: the largest factor in use.
const HOT_REMOTE_PERCENT: u32 = 300;

/// An entry with `count` endpoints, of which the first is on the rack `r1`.
fn fixture(count: u8, remote_percent: Option<u32>) -> Fixture {
    let mut fixture = Fixture::new(count);
    fixture.broker.set_remote_percent(remote_percent);
    let agent = fixture.agents.get_mut(&address(1)).expect("an agent");
    agent.report.endpoint.as_mut().expect("an endpoint").labels = vec!["r1".to_owned()];
    fixture.advance(200);
    fixture
}

/// A job of tasks whose data is on the rack.
fn on_rack(job: u64, count: u16, cpu: u32) -> Submission {
    submission(job, vec![Step { rack: Some("r1".to_owned()), ..step(count, cpu) }])
}

/// Number of runs at an agent.
fn runs_at(fixture: &Fixture, agent: u8) -> usize {
    fixture.agents[&address(agent)].runs.len()
}

#[test]
fn a_task_waits_for_its_rack_if_it_ends_there_first() {
    let mut fixture = fixture(2, Some(REMOTE_PERCENT));
    fixture.submit(on_rack(1, 10, 100));
    fixture.submit(on_rack(2, 1, 100));
    assert_eq!((runs_at(&fixture, 1), runs_at(&fixture, 2)), (10, 0));

    let (at, key) = fixture.runs()[0];
    fixture.end(at, key, End::Done);

    assert!(fixture.agents[&address(1)].runs.iter().any(|(key, _)| key.job.0 == 2));
}

#[test]
fn a_task_goes_elsewhere_at_once_if_its_rack_is_free_too_late() {
    let mut fixture = fixture(2, Some(REMOTE_PERCENT));
    fixture.submit(on_rack(1, 1, 1_000));

    fixture.submit(on_rack(2, 1, 1_000));

    assert_eq!(runs_at(&fixture, 2), 1);
    // The agent would take its endpoint for slow if it expected the run time on the rack.
    assert_eq!(fixture.agents[&address(2)].expected, 300);
}

#[test]
fn only_as_many_tasks_wait_for_a_rack_as_gain_by_it() {
    let mut fixture = fixture(4, Some(REMOTE_PERCENT));
    fixture.submit(on_rack(1, 10, 100));

    fixture.submit(on_rack(2, 12, 100));

    // Ten runs of 200 ms make room for one task every 20 ms; a wait of 100 ms gains nothing.
    assert_eq!(fixture.runs().len(), 10 + 8);
}

#[test]
fn a_wait_for_a_rack_that_stays_full_ends_after_the_time_that_it_could_gain() {
    let mut fixture = fixture(2, Some(REMOTE_PERCENT));
    fixture.submit(on_rack(1, 10, 100));
    fixture.submit(on_rack(2, 1, 100));

    fixture.advance(90);
    let before = runs_at(&fixture, 2);
    fixture.advance(20);

    assert_eq!((before, runs_at(&fixture, 2)), (0, 1));
}

#[test]
fn a_job_that_waits_for_its_rack_holds_up_no_job_without_one() {
    let mut fixture = fixture(2, Some(REMOTE_PERCENT));
    fixture.submit(on_rack(1, 10, 100));
    fixture.submit(on_rack(2, 1, 100));

    let request = fixture.submit(submission(3, vec![step(2, 500)]));

    assert_eq!((runs_at(&fixture, 2), fixture.answer(request)), (2, None));
}

#[test]
fn without_the_setting_no_task_waits_for_its_rack() {
    let mut fixture = fixture(2, None);
    fixture.submit(on_rack(1, 10, 100));

    fixture.submit(on_rack(2, 1, 100));

    assert_eq!(runs_at(&fixture, 2), 1);
    assert_eq!(fixture.agents[&address(2)].expected, 200);
}

/// Mean time to the end of jobs with and without a rack, in ms.
///
/// 60 % of the jobs name a rack with a quarter of the capacity; `load` is in percent of all.
fn play_hot_rack(remote_percent: Option<u32>, load: u32) -> (f64, f64) {
    const TASK_CPU: u32 = 50;
    const TICK_MS: u64 = 10;
    const BATCH: usize = 5;
    const WARM_UP_MS: u64 = 5_000;
    let mut fixture = fixture(4, remote_percent);
    let started = fixture.now;
    let mut rng = SmallRng::seed_from_u64(1);
    let jobs_per_tick = f64::from(4 * CAPACITY * load / 100) * TICK_MS as f64
        / (f64::from(TASK_CPU) * RUN_MS as f64);
    let names_rack = |job: u64| job % 5 < 3;
    let mut ends = BTreeMap::new();
    let mut submitted: Vec<Uptime> = Vec::new();
    let mut took = [Vec::new(), Vec::new()];
    for _ in 0..3_000 {
        for (at, key) in fixture.runs() {
            let remote = names_rack(key.job.0) && at != address(1);
            let run = if remote { RUN_MS * u64::from(HOT_REMOTE_PERCENT) / 100 } else { RUN_MS };
            ends.entry(key).or_insert((fixture.now + run, at));
        }
        let due = ends.iter().filter(|(_, (end, _))| *end <= fixture.now);
        for (key, at) in due.map(|(key, (_, at))| (*key, *at)).collect::<Vec<_>>() {
            ends.remove(&key);
            fixture.end(at, key, End::Done);
            let since = submitted[key.job.0 as usize];
            if since > started + WARM_UP_MS {
                took[usize::from(names_rack(key.job.0))].push(fixture.now.since(since) as f64);
            }
        }
        // Jobs arrive in batches at random times.
        let batches =
            (0..BATCH).filter(|_| rng.random_bool(jobs_per_tick / (BATCH * BATCH) as f64));
        for _ in 0..BATCH * batches.count() {
            let job = submitted.len() as u64;
            submitted.push(fixture.now);
            let rack = names_rack(job).then(|| "r1".to_owned());
            fixture.submit(submission(job, vec![Step { rack, ..step(1, TASK_CPU) }]));
        }
        fixture.advance(TICK_MS);
    }
    let [others, on_rack] = took.map(|it| it.iter().sum::<f64>() / it.len() as f64);
    (on_rack, others)
}

#[test]
fn a_rack_that_most_jobs_name_serves_its_tasks_sooner_and_slows_down_no_others() {
    // Guards against a queue before the rack that grows until nobody gains by it: from a load of
    // 42 % on, the tasks that name the rack need more than its capacity.
    for (load, least_gain) in [(25, 15.0), (35, 15.0), (50, 0.0), (75, -3.0)] {
        let (rack_before, others_before) = play_hot_rack(None, load);

        let (rack, others) = play_hot_rack(Some(HOT_REMOTE_PERCENT), load);

        println!("load {load}: {rack_before:.1} to {rack:.1}, {others_before:.1} to {others:.1}");
        assert!(rack < rack_before - least_gain, "{load}: {rack_before} to {rack}");
        assert!(others < others_before + 3.0, "{load}: {others_before} to {others}");
    }
}
