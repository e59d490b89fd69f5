//! Changes to one node's view on reports, suspicions and timeouts.

use ident::{Incarnation, NodeId};
use members::{Change, Event, Liveness, Members};
use wire::{AgentReport, Suspicion};

use crate::fixture::{agent, at, entry, group, report};

const ZONE: &str = "pier-yard";

fn members() -> Members {
    Members::new(entry(0), ZONE, &[entry(1), entry(2)])
}

fn report_of(incarnation: u64, sequence: u64) -> AgentReport {
    AgentReport { incarnation: Incarnation(at(incarnation)), ..report(0, ZONE, sequence) }
}

fn leaving(report: AgentReport) -> AgentReport {
    AgentReport { leaving: true, ..report }
}

fn suspicion_of(report: &AgentReport) -> Suspicion {
    let AgentReport { node, incarnation, sequence, .. } = *report;
    Suspicion { node, incarnation, sequence }
}

/// A view that received a heartbeat from agent 0 every 500 ms until 10 s.
fn with_direct_heartbeats() -> Members {
    let mut members = members();
    for sequence in 1..=20 {
        members.on_heartbeat(&report_of(0, sequence), at(500 * sequence));
    }
    members
}

/// Ticks every 100 ms and returns the events.
fn tick_through(members: &mut Members, from: u64, to: u64) -> Vec<Event> {
    (from..to).step_by(100).flat_map(|millis| members.tick(at(millis))).collect()
}

#[test]
fn only_newer_reports_are_applied() {
    let mut members = members();

    let changes = [
        members.on_report(&report_of(5, 1), at(0)),
        members.on_report(&report_of(5, 3), at(0)),
        members.on_report(&report_of(5, 2), at(0)),
        members.on_report(&report_of(4, 99), at(0)),
        members.on_report(&report_of(6, 0), at(0)),
    ];

    use Change::{Joined, Restarted, Stale, Updated};
    assert_eq!(changes, [Joined, Updated, Stale, Stale, Restarted]);
}

#[test]
fn leaving_is_final_for_the_incarnation() {
    let mut members = members();
    members.on_report(&report_of(5, 1), at(0));

    let left = members.on_report(&leaving(report_of(5, 2)), at(1));
    members.on_report(&report_of(5, 3), at(2));
    let while_leaving = members.available(&group(0));
    let restarted = members.on_report(&report_of(6, 1), at(3));

    assert_eq!((left, restarted), (Change::Leaving, Change::Restarted));
    assert_eq!(while_leaving, []);
    assert_eq!(members.available(&group(0)), [agent(0)]);
    assert_eq!(members.available(&group(1)), []);
}

#[test]
fn an_agent_without_reports_is_suspected_then_gone_and_recovers_only_with_a_newer_report() {
    let mut members = with_direct_heartbeats();

    let events = tick_through(&mut members, 10_000, 20_000);
    let stale = members.on_report(&report_of(0, 20), at(20_000));
    let old = members.on_report(&report_of(0, 19), at(20_000));
    let while_gone = members.available(&group(0));
    let newer = members.on_report(&report_of(0, 21), at(20_000));

    assert_eq!(events, [Event::Suspected(agent(0)), Event::Gone(agent(0))]);
    assert_eq!((stale, old, newer), (Change::Stale, Change::Stale, Change::Recovered));
    assert_eq!(while_gone, []);
    assert_eq!(members.available(&group(0)), [agent(0)]);
}

#[test]
fn an_agent_with_only_relayed_reports_is_suspected_later() {
    let mut members = members();
    for sequence in 1..=10 {
        members.on_report(&report_of(0, sequence), at(2000 * sequence));
    }

    let early = tick_through(&mut members, 20_000, 35_000);
    let late = tick_through(&mut members, 35_000, 60_000);

    assert_eq!(early, []);
    assert_eq!(late.first(), Some(&Event::Suspected(agent(0))));
}

#[test]
fn a_suspicion_applies_unless_a_newer_report_has_arrived() {
    let mut members = members();
    members.on_report(&report_of(0, 7), at(0));

    let outdated = members.on_silence(&suspicion_of(&report_of(0, 6)), at(1));
    let current = members.on_silence(&suspicion_of(&report_of(0, 7)), at(2));

    assert_eq!(outdated, None);
    assert_eq!(current, Some(Event::Suspected(agent(0))));
    assert_eq!(members.get(agent(0)).map(|it| it.liveness), Some(Liveness::Suspected));
    assert_eq!(tick_through(&mut members, 2, 5000), [Event::Gone(agent(0))]);
}

#[test]
fn a_report_covered_by_a_suspicion_is_stale() {
    let mut members = members();
    members.on_report(&report_of(0, 5), at(0));
    members.on_silence(&suspicion_of(&report_of(0, 7)), at(1));

    let covered = members.on_report(&report_of(0, 7), at(2));
    let newer = members.on_report(&report_of(0, 8), at(3));

    assert_eq!((covered, newer), (Change::Stale, Change::Recovered));
}

#[test]
fn heartbeats_go_to_three_entries_including_one_in_the_same_zone() {
    let entries: Vec<NodeId> = (1..10).map(entry).collect();
    let near = entry(7);
    let mut all = Vec::new();

    for index in 0..20 {
        let mut members = Members::new(agent(index), ZONE, &entries);
        members.on_zone_entries(&[near], at(0));
        let chosen = members.heartbeat_entries();

        assert_eq!(chosen.len(), 3);
        assert_eq!(chosen[0], near);
        all.extend(chosen);
    }
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), entries.len());
}

#[test]
fn heartbeats_avoid_entries_that_do_not_answer() {
    let entries: Vec<NodeId> = (1..6).map(entry).collect();
    let mut members = Members::new(agent(0), ZONE, &entries);
    let first = members.heartbeat_entries();

    for _ in 0..12 {
        let target = members.next_heartbeat().expect("there are entries");
        if target != first[0] {
            members.on_ack(target, 0, at(0));
        }
    }
    let second = members.heartbeat_entries();
    members.on_ack(first[0], 0, at(0));

    assert!(!second.contains(&first[0]));
    assert_eq!(second.len(), 3);
    assert_eq!(members.heartbeat_entries(), first);
}

#[test]
fn removes_entries_that_time_out_except_seeds() {
    let mut members = members();
    members.on_gossip(entry(1), Incarnation(at(0)), ZONE, 10, at(0));
    members.on_gossip(entry(3), Incarnation(at(0)), ZONE, 12, at(0));
    let ahead = members.entry_ahead_of(10);

    let events = tick_through(&mut members, 0, 60_000);

    assert_eq!(ahead, Some(entry(3)));
    assert_eq!(members.entries(), []);
    assert!(events.contains(&Event::EntryGone(entry(1))));
    let remaining: Vec<NodeId> = members.peers().map(|it| it.node).collect();
    assert!(remaining.contains(&entry(1)) && !remaining.contains(&entry(3)));
}
