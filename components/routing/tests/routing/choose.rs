//! Choice of agents, and their ejection and half-open phase.

use std::time::Duration;

use ident::{NodeId, Timestamp};
use rand::{SeedableRng, rngs::SmallRng};
use routing::{Choice, Criteria, RequestOutcome, RequestResult, Router};
use wire::Load;

use crate::fixture::{draining, group, inventory, leaving, node, report, zone};

const RUN_TIME: Duration = Duration::from_millis(100);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn load(busy: u32, queued: u32) -> Load {
    Load { busy, slots: 8, queued, backlog: RUN_TIME * (busy + queued) }
}

/// A router in the availability zone of agent 0, with reports of idle agents.
fn router(agents: usize) -> Router {
    let mut router = Router::new(zone(0));
    router.set_inventory(&inventory(agents, 8));
    for index in 0..agents {
        router.on_report(&report(index, 1, load(0, 0)), at(0));
    }
    router
}

fn choose_without(router: &mut Router, exclude: &[NodeId], now: Timestamp) -> Option<Choice> {
    let mut rng = SmallRng::seed_from_u64(now.as_micros());
    let criteria = Criteria { kind: "slot-check", expected: RUN_TIME, exclude };
    router.choose(&group(), &criteria, now, &mut rng)
}

fn choose(router: &mut Router, now: Timestamp) -> NodeId {
    choose_without(router, &[], now).expect("there are agents").node
}

fn finish(router: &mut Router, node: NodeId, outcome: RequestOutcome, now: Timestamp) {
    let result = RequestResult {
        kind: "slot-check",
        declared: None,
        expected: RUN_TIME,
        sent_at: now,
        run_time: RUN_TIME,
        outcome,
        load: None,
    };
    router.on_sent(node, RUN_TIME, now);
    router.on_reply(node, &result, now);
}

#[test]
fn prefers_its_own_zone_until_waits_there_are_longer() {
    let mut router = router(2);

    let idle = choose(&mut router, at(1));
    router.on_report(&report(0, 2, load(8, 2)), at(2));
    let busy = choose(&mut router, at(3));

    assert_eq!((idle, busy), (node(0), node(1)));
}

#[test]
fn counts_what_it_has_sent_since_the_last_report() {
    let mut router = router(2);

    let mut sent = [0u32, 0];
    for _ in 0..16 {
        let chosen = choose(&mut router, at(1));
        router.on_sent(chosen, RUN_TIME, at(1));
        sent[usize::from(chosen == node(1))] += 1;
    }

    assert!(sent[0].abs_diff(sent[1]) <= 4, "{sent:?}");
}

#[test]
fn a_delayed_report_does_not_override_the_load_in_a_reply() {
    let mut router = router(2);
    let result = RequestResult {
        kind: "slot-check",
        declared: None,
        expected: RUN_TIME,
        sent_at: at(1),
        run_time: RUN_TIME,
        outcome: RequestOutcome::Healthy,
        load: Some(load(8, 5)),
    };
    router.on_reply(node(0), &result, at(101));

    router.on_report(&report(0, 2, load(0, 0)), at(400));
    let soon = choose(&mut router, at(401));
    router.on_report(&report(0, 3, load(0, 0)), at(1400));
    let later = choose(&mut router, at(1401));

    assert_eq!((soon, later), (node(1), node(0)));
}

#[test]
fn leaving_draining_unknown_and_excluded_agents_get_no_requests() {
    let mut router = router(5);
    router.on_report(&leaving(report(0, 2, load(0, 0))), at(1));
    router.set_inventory(&draining(&inventory(4, 8), "e1"));

    let choice = choose_without(&mut router, &[node(2)], at(2)).expect("one agent is left");
    let none = choose_without(&mut router, &[node(2), node(3)], at(2));

    assert_eq!(choice.node, node(3));
    assert_eq!(choice.candidates.iter().filter(|it| it.excluded.is_some()).count(), 4);
    assert_eq!(none, None);
}

#[test]
fn a_late_report_does_not_bring_back_an_agent_that_leaves() {
    let mut router = router(1);
    router.on_report(&leaving(report(0, 5, load(0, 0))), at(1));

    router.on_report(&report(0, 4, load(0, 0)), at(2));

    assert_eq!(choose_without(&mut router, &[], at(3)), None);
}

#[test]
fn a_silent_agent_is_chosen_only_if_no_other_can_be() {
    let mut router = router(2);
    router.set_silent(node(0), true);

    let with_other = choose(&mut router, at(1));
    let alone = choose_without(&mut router, &[node(1)], at(1)).expect("one agent is left").node;

    assert_eq!((with_other, alone), (node(1), node(0)));
}

#[test]
fn ejects_no_more_than_the_configured_share() {
    let mut router = router(10);
    for index in 0..6 {
        for _ in 0..20 {
            finish(&mut router, node(index), RequestOutcome::Failed, at(10));
        }
    }

    let choice = choose_without(&mut router, &[], at(500)).expect("there are agents");

    let ejected = choice.candidates.iter().filter(|it| it.excluded.is_some()).count();
    assert_eq!(ejected, 3);
}

#[test]
fn an_ejected_agent_returns_after_a_few_trials_one_at_a_time() {
    let mut router = router(10);
    for _ in 0..20 {
        finish(&mut router, node(0), RequestOutcome::Failed, at(10));
    }
    let ejected = choose(&mut router, at(500));

    let mut trials = Vec::new();
    for millis in (6000..20_000).step_by(10) {
        let chosen = choose(&mut router, at(millis));
        if chosen == node(0) {
            finish(&mut router, chosen, RequestOutcome::Healthy, at(millis));
            trials.push(millis);
        }
    }

    assert_ne!(ejected, node(0));
    assert!(trials[0] >= 10_000, "{trials:?}");
    assert!(trials[1..5].windows(2).all(|pair| pair[1] - pair[0] >= 250), "{trials:?}");
    assert!(trials.len() > 100, "{trials:?}");
}

#[test]
fn each_ejection_in_a_row_lasts_longer() {
    let mut router = router(10);
    for _ in 0..20 {
        finish(&mut router, node(0), RequestOutcome::Failed, at(10));
    }

    let mut trials = Vec::new();
    for millis in (200..100_000).step_by(50) {
        if choose(&mut router, at(millis)) == node(0) {
            finish(&mut router, node(0), RequestOutcome::Failed, at(millis));
            trials.push(millis);
        }
    }

    let gaps: Vec<u64> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.len() >= 2 && gaps.is_sorted_by(|a, b| a < b), "{trials:?}");
}

#[test]
fn a_restart_does_not_end_the_half_open_phase() {
    let mut router = router(10);
    for _ in 0..20 {
        finish(&mut router, node(0), RequestOutcome::Failed, at(10));
    }
    choose(&mut router, at(500));
    let mut restarted = report(0, 1, load(0, 0));
    restarted.incarnation.0 = at(600);

    router.on_report(&restarted, at(600));

    let choice = choose_without(&mut router, &[], at(700)).expect("there are agents");
    let excluded = choice.candidates.iter().find(|it| it.node == node(0)).map(|it| &it.excluded);
    assert_eq!(excluded, Some(&Some("is on probation".to_owned())));
}

#[test]
fn compares_few_agents_of_a_large_group() {
    let mut router = router(1200);

    let choice = choose_without(&mut router, &[], at(1)).expect("there are agents");

    assert_eq!(choice.candidates.len(), 16);
}
