//! Jobs while the operator has evacuated availability zones.

use broker::{MIN_WATCHED, Reply, SETTLE_MS};
use mesh::Refusal;

use crate::fixture::{CAPACITY, Fixture, address, step, submission};

/// Zone of an agent: odd ones are in the north.
fn zone(agent: u8) -> &'static str {
    if agent % 2 == 1 { "north" } else { "south" }
}

/// An entry that has heard from `count` agents in two zones.
fn fixture(count: u8) -> Fixture {
    let mut fixture = Fixture::starting_in(count, |_| true, zone);
    fixture.advance(SETTLE_MS);
    fixture
}

fn is_refused(reply: Option<Reply>) -> bool {
    matches!(reply, Some(Reply::Refused { retry_after }) if retry_after >= 1_000)
}

// Guards against tasks that are placed in a zone after its evacuation is known.
#[test]
fn places_nothing_in_an_evacuated_zone_until_it_is_taken_back() {
    let mut fixture = fixture(4);
    fixture.evacuate(&["north"]);

    fixture.submit(submission(1, vec![step(8, CAPACITY / 4)]));
    let evacuated: Vec<_> = fixture.runs().iter().map(|it| it.0).collect();
    fixture.evacuate(&[]);
    fixture.advance(10);
    fixture.submit(submission(2, vec![step(8, CAPACITY / 4)]));

    assert_eq!(evacuated.len(), 8);
    assert!(evacuated.iter().all(|it| [address(2), address(4)].contains(it)), "{evacuated:?}");
    assert_eq!(fixture.runs().len(), 16);
}

// Guards against admission by the capacity of an evacuated zone: a backlog that half the fleet
// works off in time, and a quarter of it does not.
#[test]
fn admits_no_more_than_the_other_zones_can_serve() {
    let admitted = |evacuated: &[&str]| {
        let mut fixture = fixture(8);
        fixture.evacuate(evacuated);
        let requests: Vec<_> =
            (1..=24).map(|job| fixture.submit(submission(job, vec![step(1, CAPACITY)]))).collect();
        requests.iter().filter(|request| fixture.answer(**request).is_none()).count()
    };

    assert!(2 * admitted(&["north"]) <= admitted(&[]) + 1);
}

// Guards against jobs that wait in vain, and against an entry that turns unready although no other
// entry could serve its jobs either.
#[test]
fn refuses_all_jobs_at_once_and_stays_ready_while_all_zones_are_evacuated() {
    let mut fixture = fixture(4);
    fixture.evacuate(&["north", "south"]);

    let request = fixture.submit(submission(1, vec![step(1, 100)]));

    assert!(is_refused(fixture.answer(request)));
    assert_eq!(fixture.broker.available_agents(), 4);
}

#[test]
fn refuses_a_waiting_job_at_once_when_the_only_zone_that_could_serve_it_is_evacuated() {
    let mut fixture = fixture(1);
    let running = fixture.submit(submission(1, vec![step(1, CAPACITY)]));
    let waiting = fixture.submit(submission(2, vec![step(1, CAPACITY)]));

    fixture.evacuate(&["north"]);

    assert_eq!(fixture.answer(running), None);
    assert!(is_refused(fixture.answer(waiting)));
}

// Guards against a job that waits until its deadline because its order was on its way when the
// agent learned of the evacuation.
#[test]
fn refuses_a_job_at_once_whose_order_an_evacuated_agent_has_refused() {
    let mut fixture = fixture(1);
    let request = fixture.submit(submission(1, vec![step(1, 100)]));
    let (at, key) = fixture.runs()[0];
    fixture.evacuate(&["north"]);

    fixture.refuse(at, key, Refusal::Closed);

    assert!(is_refused(fixture.answer(request)));
}

// Guards against refusals by an entry that has just started, before it has heard the zones that
// can serve the job.
#[test]
fn a_job_waits_at_the_start_until_the_agents_of_other_zones_are_heard() {
    let mut fixture = Fixture::starting_in(2, |agent| agent == 1, zone);
    fixture.evacuate(&["north"]);

    let request = fixture.submit(submission(1, vec![step(1, 100)]));
    let early = fixture.answer(request);
    fixture.agents.get_mut(&address(2)).expect("an agent").responds = true;
    fixture.advance(500);

    assert_eq!(early, None);
    assert_eq!(fixture.runs().len(), 1);
}

// Guards against jobs that are refused because the agents of the other zone are late for a moment.
#[test]
fn a_job_waits_while_the_agents_of_the_other_zone_do_not_acknowledge() {
    let mut fixture = fixture(2);
    fixture.evacuate(&["north"]);
    fixture.agents.get_mut(&address(2)).expect("an agent").responds = false;
    fixture.submit(submission(1, vec![step(1, 100)]));
    fixture.advance(150);

    let request = fixture.submit(submission(2, vec![step(1, 100)]));
    let early = fixture.answer(request);
    fixture.agents.get_mut(&address(2)).expect("an agent").responds = true;
    fixture.advance(200);

    assert_eq!(early, None);
    assert_eq!(fixture.runs().len(), 2);
}

// Guards against a subset of watched agents that an evacuated zone uses up.
#[test]
fn watches_agents_of_other_zones_in_place_of_evacuated_ones() {
    let mut fixture = fixture(100);
    fixture.advance(10_000);
    fixture.evacuate(&["north"]);
    fixture.advance(3_000);

    let before: Vec<_> = fixture.agents.values().map(|it| it.probes).collect();
    fixture.advance(2_000);

    let probes = fixture.agents.values().zip(before).map(|(it, before)| it.probes - before);
    let often = (1..).zip(probes).filter(|(_, probes)| *probes >= 10);
    let often: Vec<u8> = often.map(|it| it.0).collect();
    assert!(often.iter().all(|it| zone(*it) == "south"), "{often:?}");
    assert!(often.len() >= MIN_WATCHED, "{}", often.len());
}
