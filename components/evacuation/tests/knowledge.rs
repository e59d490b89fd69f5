//! The newest state replaces older ones, whatever the order in which states arrive.

use std::collections::BTreeMap;

use evacuation::{
    ChangeKind, Knowledge, LogPrefix, RESEND_AFTER_MS, STARTUP_HOLD_MS, UNKNOWN_ZONE_MS,
};
use mesh::{Evacuations, Uptime};
use proptest::prelude::*;

const ZONES: [&str; 3] = ["east", "north", "south"];

fn state(end: u64, zones: &[(&str, u64)]) -> Evacuations {
    let zones = zones.iter().map(|(zone, offset)| ((*zone).to_owned(), *offset));
    Evacuations { end, zones: zones.collect() }
}

/// State after the first `end` records of a log.
fn after(log: &[(usize, bool)], end: usize) -> Evacuations {
    let mut zones = BTreeMap::new();
    for (offset, (zone, evacuated)) in (0..).zip(&log[..end]) {
        let zone = ZONES[*zone].to_owned();
        if *evacuated {
            zones.insert(zone, offset)
        } else {
            zones.remove(&zone)
        };
    }
    Evacuations { end: end as u64, zones }
}

#[test]
fn several_zones_are_evacuated_and_taken_back_one_by_one() {
    let mut knowledge = Knowledge::default();

    let begun = knowledge.merge(Uptime(10), state(5, &[("north", 3), ("south", 4)]));
    let ended = knowledge.merge(Uptime(900), state(6, &[("south", 4)]));

    assert_eq!(begun.map(|it| it.len()), Some(2));
    let ended = ended.unwrap_or_default();
    assert_eq!((ended[0].zone.as_str(), ended[0].offset), ("north", 3));
    assert_eq!(ended[0].kind, ChangeKind::TakenBack { known_ms: 890 });
    assert!(knowledge.is_evacuated("south") && !knowledge.is_evacuated("north"));
}

#[test]
fn an_older_state_changes_nothing() {
    let mut knowledge = Knowledge::default();
    knowledge.merge(Uptime(0), state(7, &[("north", 3)]));

    assert_eq!(knowledge.merge(Uptime(1), state(3, &[])), None);
    assert_eq!(knowledge.merge(Uptime(1), state(7, &[])), None);

    assert!(knowledge.is_evacuated("north"));
}

// Guards against a member that was cut off while a zone was taken back and keeps it closed.
#[test]
fn members_are_told_for_a_while_after_the_last_zone_is_taken_back() {
    let mut knowledge = Knowledge::default();
    knowledge.merge(Uptime(0), state(1, &[]));
    assert!(!knowledge.notifies_members(Uptime(0)));

    knowledge.merge(Uptime(0), state(2, &[("north", 1)]));
    assert!(knowledge.notifies_members(Uptime(10 * RESEND_AFTER_MS)));
    knowledge.merge(Uptime(100), state(3, &[]));

    assert!(knowledge.notifies_members(Uptime(99 + RESEND_AFTER_MS)));
    assert!(!knowledge.notifies_members(Uptime(100 + RESEND_AFTER_MS)));
}

// Guards against a warning on each check, and against one about a zone whose members are not
// discovered yet.
#[test]
fn a_zone_without_members_is_returned_once_after_a_while() {
    let mut knowledge = Knowledge::default();
    knowledge.merge(Uptime(0), state(5, &[("nowhere", 3), ("north", 4)]));
    let mut unknown = |at| knowledge.unknown_zones(Uptime(at), |zone| zone == "north");

    assert!(unknown(UNKNOWN_ZONE_MS - 1).is_empty());
    assert_eq!(unknown(UNKNOWN_ZONE_MS), ["nowhere"]);
    assert!(unknown(2 * UNKNOWN_ZONE_MS).is_empty());
}

// Guards against a restarted agent that works in an evacuated zone before it is told, and against
// one that never works because nobody can tell it.
#[test]
fn an_agent_without_any_state_holds_its_work_back_for_a_short_time() {
    let mut knowledge = Knowledge::default();
    let started = Uptime(500);

    assert!(knowledge.awaits_state(Uptime(499 + STARTUP_HOLD_MS), started));
    assert!(!knowledge.awaits_state(Uptime(500 + STARTUP_HOLD_MS), started));
    knowledge.merge(Uptime(510), state(0, &[]));

    assert!(!knowledge.awaits_state(Uptime(510), started));
}

proptest! {
    // Guards against processes that disagree after they have heard the same states.
    #[test]
    fn the_newest_of_all_states_wins_in_any_order(
        log in prop::collection::vec((0..ZONES.len(), any::<bool>()), 1..20),
        ends in prop::collection::vec(0_usize..20, 1..8),
    ) {
        let ends: Vec<_> = ends.into_iter().map(|it| it.min(log.len())).collect();
        let mut knowledge = Knowledge::default();

        for end in &ends {
            knowledge.merge(Uptime(0), after(&log, *end));
        }

        let newest = after(&log, ends.into_iter().max().unwrap_or(0));
        prop_assert!(knowledge.zones().iter().eq(newest.zones.keys()));
        prop_assert_eq!(knowledge.state(), Some(&newest));
    }

    // Guards against pages that are read while the log grows: a page may lack or already hold
    // what was written after the first one, and reads may return records twice.
    #[test]
    fn the_records_after_the_first_page_mend_the_later_pages(
        log in prop::collection::vec((0..ZONES.len(), any::<bool>()), 1..20),
        reads in prop::collection::vec(0_usize..20, ZONES.len()),
        again in 0_usize..20,
    ) {
        let mut reads: Vec<_> = reads.into_iter().map(|it| it.min(log.len())).collect();
        reads.sort_unstable();
        // Each zone is on a page of its own, in the order of the keys.
        let pages = ZONES.iter().zip(&reads).filter_map(|(zone, read)| {
            let offset = *after(&log, *read).zones.get(*zone)?;
            Some(((*zone).to_owned(), offset))
        });
        let mut prefix = LogPrefix::new(reads[0] as u64, pages.collect::<Vec<_>>());

        let from = again.min(reads[0]);
        for (offset, (zone, evacuated)) in log.iter().enumerate().skip(from) {
            prefix.apply(offset as u64, ZONES[*zone], *evacuated);
        }
        prefix.advance(log.len() as u64);

        prop_assert_eq!(prefix.state(), &after(&log, log.len()));
    }
}
