//! Tests that jobs are refused on arrival if they can't be served in time.

use std::sync::Arc;

use broker::{Reply, Route, SETTLE_MS, Step};
use mesh::End;

use crate::fixture::{Fixture, address, step, submission};

#[test]
fn refuses_a_job_that_would_start_too_late_on_arrival() {
    let mut fixture = Fixture::new(1);
    let mut requests = Vec::new();
    for job in 1..=8 {
        requests.push(fixture.submit(submission(job, vec![step(1, 1_000)])));
    }

    let last = fixture.answer(requests[7]);

    assert!(matches!(last, Some(Reply::Refused { retry_after }) if retry_after >= 1_000));
    assert_eq!(fixture.answer(requests[0]), None);
}

#[test]
fn counts_the_work_that_waits_at_other_entries() {
    let admitted = |others| {
        let mut fixture = Fixture::new(4);
        for agent in fixture.agents.values_mut() {
            agent.report.waiting = others;
        }
        fixture.advance(200);
        let requests: Vec<_> =
            (1..=20).map(|job| fixture.submit(submission(job, vec![step(1, 1_000)]))).collect();
        requests.iter().filter(|request| fixture.answer(**request).is_none()).count()
    };

    assert!(admitted(400) < admitted(0));
}

#[test]
fn a_flooded_route_bears_its_own_refusals() {
    let mut fixture = Fixture::new(4);
    let mut refused = [0, 0];
    let mut requests = Vec::new();
    for round in 0..40 {
        // Six jobs of the flooded route arrive for each of the calm one, and capacity is for
        // about three.
        for number in 0..7 {
            let flooded = number < 6;
            let mut job = submission(round * 10 + number + 1, vec![step(1, 500)]);
            if !flooded {
                job.route = Arc::new(Route { name: "calm".to_owned(), ..Route::clone(&job.route) });
            }
            requests.push((flooded, fixture.submit(job)));
        }
        fixture.advance(80);
        for (at, key) in fixture.runs().into_iter().take(3) {
            fixture.end(at, key, End::Done);
        }
    }

    for (flooded, request) in requests {
        if matches!(fixture.answer(request), Some(Reply::Refused { .. })) {
            refused[usize::from(flooded)] += 1;
        }
    }
    let [calm, flooded] = refused;
    assert!(flooded > 40, "{flooded} jobs of the flooded route were refused");
    assert!(calm <= 4, "{calm} jobs of the calm route were refused");
}

// Load: one kind of jobs of uneven size, more than the endpoints can take.
#[test]
fn a_small_job_may_wait_longer_than_a_large_one_of_its_route() {
    let taken = |cpu| {
        let is_taken = |ahead: &u64| {
            let mut fixture = Fixture::new(4);
            for job in 1..=*ahead {
                fixture.submit(submission(job, vec![step(1, 500)]));
            }
            let request = fixture.submit(submission(100, vec![step(1, cpu)]));
            fixture.answer(request).is_none()
        };
        (8..40).take_while(is_taken).count()
    };

    let (small, large) = (taken(50), taken(500));

    assert!(small > large, "behind {small} and {large} jobs");
    assert!(large > 0);
}

#[test]
fn refuses_a_task_that_no_endpoint_could_ever_run() {
    let mut fixture = Fixture::new(2);

    let request = fixture.submit(submission(1, vec![step(1, 5_000)]));

    assert!(matches!(fixture.answer(request), Some(Reply::Refused { .. })));
}

#[test]
fn lets_jobs_wait_for_endpoints_that_are_about_to_be_found() {
    let mut fixture = Fixture::starting(0, |_| true);

    let early = fixture.submit(submission(1, vec![step(1, 100)]));
    assert_eq!(fixture.answer(early), None);
    fixture.advance(2_000);
    let late = fixture.submit(submission(2, vec![step(1, 100)]));

    assert!(matches!(fixture.answer(late), Some(Reply::Refused { .. })));
}

/// All agents that have not responded so far respond from now on.
fn restore_agents(fixture: &mut Fixture) {
    for agent in fixture.agents.values_mut() {
        agent.responds = true;
    }
    fixture.advance(300);
}

#[test]
fn predicts_no_long_wait_from_the_first_agents_heard_after_a_restart_of_everything() {
    let mut fixture = Fixture::starting(10, |last| last == 1);

    let requests: Vec<_> =
        (1..=10).map(|job| fixture.submit(submission(job, vec![step(1, 1_000)]))).collect();
    let refused = requests.iter().filter(|it| fixture.answer(**it).is_some()).count();
    restore_agents(&mut fixture);

    assert_eq!(refused, 0);
    assert_eq!(fixture.runs().len(), 10);
}

#[test]
fn a_job_may_need_an_endpoint_that_is_not_heard_yet() {
    let mut fixture = Fixture::starting(2, |last| last == 1);
    let agent = fixture.agents.get_mut(&address(2)).expect("an agent");
    agent.report.endpoint.as_mut().expect("an endpoint").labels = vec!["large".to_owned()];
    let step = Step { label: Some("large".to_owned()), ..step(1, 500) };

    let request = fixture.submit(submission(1, vec![step]));
    restore_agents(&mut fixture);

    assert_eq!(fixture.answer(request), None);
    assert_eq!(fixture.agents[&address(2)].runs.len(), 1);
}

#[test]
fn agents_that_are_not_heard_within_the_settle_time_count_as_gone() {
    let mut fixture = Fixture::starting(10, |last| last == 1);
    fixture.advance(SETTLE_MS);

    let requests: Vec<_> =
        (1..=10).map(|job| fixture.submit(submission(job, vec![step(1, 1_000)]))).collect();

    let refused = requests.iter().filter(|it| fixture.answer(**it).is_some()).count();
    assert!(refused >= 7, "{refused} of 10 were refused");
}

#[test]
fn endpoints_that_all_return_after_an_outage_are_not_judged_by_the_first_one() {
    let mut fixture = Fixture::new(10);
    for last in 1..=10 {
        fixture.agents.get_mut(&address(last)).expect("an agent").responds = false;
    }
    fixture.advance(500);
    fixture.submit(submission(50, vec![step(1, 10)]));
    fixture.agents.get_mut(&address(1)).expect("an agent").responds = true;
    fixture.advance(300);

    let requests: Vec<_> =
        (1..=10).map(|job| fixture.submit(submission(job, vec![step(1, 1_000)]))).collect();

    let refused = requests.iter().filter(|it| fixture.answer(**it).is_some()).count();
    assert_eq!(refused, 0);
}

// Guards against jobs that wait until their deadline for memory that no endpoint has.
#[test]
fn a_job_that_needs_more_memory_than_any_endpoint_has_is_refused_at_once() {
    let mut fixture = Fixture::new(2);

    let request = fixture.submit(submission(1, vec![Step { memory: 2_000, ..step(1, 100) }]));

    assert!(matches!(fixture.answer(request), Some(Reply::Refused { .. })));
}
