//! Mutation tests: with one mechanism disabled, its scenario must report a violation.

use std::{fs, path::Path};

use mutation::{Mechanism, without};
use scenario::{Report, Script, World};

fn play(name: &str) -> Report {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let text = fs::read_to_string(folder.join(format!("{name}.scn"))).expect("the file exists");
    let script = Script::parse(&text).unwrap_or_else(|err| panic!("{name}:\n{err}"));
    let inventory = fs::read_to_string(folder.join(format!("{}.toml", script.inventory)));
    World::play(script, &inventory.expect("the inventory exists")).unwrap()
}

/// Checks that the scenario holds with the mechanism on, and reports violations with it off.
fn check(mechanism: Mechanism, name: &str) {
    let with = play(name);
    let without = without(mechanism, || play(name));

    println!("{mechanism:?} | {name} | {} violations", without.violations.len());
    println!("{}", without.violations.first().map_or("", String::as_str));
    assert!(with.holds(), "{name} fails with {mechanism:?} on:\n{with}");
    assert!(!without.holds(), "{name} does not notice that {mechanism:?} is off");
}

#[test]
fn notices_that_owners_forget_ids() {
    check(Mechanism::Deduplication, "whole-path");
}

#[test]
fn notices_that_owners_decide_for_ids_before_their_tenure() {
    check(Mechanism::LowerFence, "owner-killed");
}

#[test]
fn notices_that_owners_decide_past_their_horizon() {
    check(Mechanism::Horizon, "zone-cut-both-sides");
}

#[test]
fn notices_that_restarted_owners_decide_for_earlier_ids() {
    check(Mechanism::IncarnationFence, "agent-restarted");
}

#[test]
fn notices_that_refusals_are_forgotten() {
    check(Mechanism::RefusedAttempts, "late-copy");
}

#[test]
fn notices_that_edits_of_outdated_versions_are_accepted() {
    check(Mechanism::BaseVersion, "operators-race");
}

#[test]
fn notices_that_processes_go_back_to_older_states() {
    check(Mechanism::MonotonicState, "peer-behind");
}

#[test]
fn notices_that_outliers_are_not_ejected() {
    check(Mechanism::OutlierEjection, "worker-fails-everything");
}

#[test]
fn notices_that_draining_agents_get_work() {
    check(Mechanism::Draining, "drain-and-stop");
}

#[test]
fn notices_that_requests_are_sent_again_after_a_lost_answer() {
    check(Mechanism::DelegateQuery, "delegate-restarted");
}

#[test]
fn notices_that_retries_have_no_budget() {
    check(Mechanism::RetryBudget, "retry-storm");
}

#[test]
fn notices_that_urgent_requests_wait_behind_others() {
    check(Mechanism::UrgencyOrder, "burst");
}

#[test]
fn notices_that_tasks_of_ended_jobs_keep_running() {
    check(Mechanism::JobTermination, "job-cancelled");
}

#[test]
fn notices_that_leases_are_not_renewed() {
    check(Mechanism::LeaseRenewal, "long-tasks");
}
