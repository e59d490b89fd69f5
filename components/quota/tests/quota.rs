//! Quotas of teams, on one entry and shared by several.

use std::time::Duration;

use config::Team;
use ident::Timestamp;
use quota::{OverQuota, Quotas};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn team(name: &str, starts_per_s: u32, burst: u32) -> Team {
    Team { name: name.to_owned(), starts_per_s, burst }
}

fn quotas(teams: &[Team]) -> Quotas {
    let mut quotas = Quotas::new();
    quotas.apply(teams, at(0));
    quotas
}

/// Single starts that the team is granted at once.
fn starts(quotas: &mut Quotas, team: &str, now: Timestamp) -> usize {
    (0..10_000).take_while(|_| quotas.take(team, 1, now).is_ok()).count()
}

#[test]
fn grants_the_burst_at_once_and_then_the_rate() {
    let mut quotas = quotas(&[team("crew", 10, 5)]);

    let at_once = starts(&mut quotas, "crew", at(0));
    let refused = quotas.take("crew", 1, at(0));
    let later = starts(&mut quotas, "crew", at(300));

    assert_eq!((at_once, later), (5, 3));
    let retry_after = Duration::from_millis(100);
    assert_eq!(refused, Err(OverQuota::Exhausted { retry_after }));
}

#[test]
fn saves_up_no_more_than_the_burst() {
    let mut quotas = quotas(&[team("crew", 10, 5)]);
    starts(&mut quotas, "crew", at(0));

    assert_eq!(starts(&mut quotas, "crew", at(3_600_000)), 5);
}

#[test]
fn keeps_levels_when_the_inventory_changes() {
    let mut quotas = quotas(&[team("crew", 10, 100)]);
    starts(&mut quotas, "crew", at(0));

    quotas.apply(&[team("crew", 10, 100), team("wrap", 1, 7)], at(0));

    assert_eq!(starts(&mut quotas, "crew", at(0)), 0);
    assert_eq!(starts(&mut quotas, "wrap", at(0)), 7);
}

#[test]
fn refuses_teams_that_are_not_or_no_longer_declared() {
    let mut quotas = quotas(&[team("crew", 10, 5)]);

    quotas.apply(&[team("wrap", 10, 5)], at(0));

    assert_eq!(quotas.take("crew", 1, at(0)), Err(OverQuota::UnknownTeam));
}

#[test]
fn entries_share_the_quota() {
    let declared = [team("crew", 100, 40)];
    let mut entries: Vec<Quotas> = (0..4).map(|_| quotas(&declared)).collect();
    for quotas in &mut entries {
        quotas.set_entries(4, at(0));
        starts(quotas, "crew", at(0));
    }

    let granted: usize = entries.iter_mut().map(|it| starts(it, "crew", at(200))).sum();

    assert_eq!(granted, 20);
}

#[test]
fn a_job_may_take_the_whole_burst_through_one_of_several_entries() {
    let mut quotas = quotas(&[team("crew", 40, 100)]);
    quotas.set_entries(4, at(0));

    let whole = quotas.take("crew", 100, at(0));
    let next = quotas.take("crew", 1, at(0));
    let too_many = quotas.take("crew", 101, at(0));

    assert_eq!(whole, Ok(()));
    let retry_after = Duration::from_millis(7600);
    assert_eq!(next, Err(OverQuota::Exhausted { retry_after }));
    assert_eq!(too_many, Err(OverQuota::TooMany { burst: 100 }));
}

#[test]
fn refunds_starts_that_were_not_used() {
    let mut quotas = quotas(&[team("crew", 1, 5)]);
    quotas.take("crew", 5, at(0)).expect("the bucket is full");

    quotas.refund("crew", 3);

    assert_eq!(starts(&mut quotas, "crew", at(0)), 3);
}

#[test]
fn a_team_without_a_rate_gets_its_burst_and_is_told_to_wait() {
    let mut quotas = quotas(&[team("guest", 0, 2)]);

    let granted = starts(&mut quotas, "guest", at(0));
    let refused = quotas.take("guest", 1, at(0));

    assert_eq!(granted, 2);
    let retry_after = Duration::from_secs(60);
    assert_eq!(refused, Err(OverQuota::Exhausted { retry_after }));
}
