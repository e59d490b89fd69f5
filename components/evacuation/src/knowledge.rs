//! Newest state of the evacuated zones that a process has read or received.

use std::collections::{BTreeMap, BTreeSet};

use mesh::{Evacuations, Uptime};

/// Time after the last evacuation for which members are still notified that it has ended, in ms.
pub const RESEND_AFTER_MS: u64 = 60_000;

/// Time after its start for which an agent that knows no state takes no work, in ms.
///
/// A restarted agent learns the state from the store or an informed entry within that time; it
/// must not start tasks in an evacuated zone before. If the store is down and no zone is
/// evacuated, nobody notifies it, and it takes work afterwards.
pub const STARTUP_HOLD_MS: u64 = 1_000;

/// Time after which an evacuated zone without members is taken for a mistake, in ms; members are
/// discovered within a few seconds of the start.
pub const UNKNOWN_ZONE_MS: u64 = 5_000;

/// Newest state that a process knows.
#[derive(Debug, Clone, Default)]
pub struct Knowledge {
    state: Option<Evacuations>,
    /// Evacuated zones, with the time at which this process learned of it.
    since: BTreeMap<String, Uptime>,
    /// Evacuated zones that were returned as unknown.
    unknown: BTreeSet<String>,
    /// Time at which the last zone was taken back.
    taken_back_at: Option<Uptime>,
}

/// A zone whose evacuation begins or ends with a newer state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Availability zone.
    pub zone: String,
    /// Offset of the record that evacuated the zone.
    pub offset: u64,
    /// What has changed.
    pub kind: ChangeKind,
}

/// What has changed about a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// It is evacuated.
    Evacuated,
    /// It is taken back.
    TakenBack {
        /// Time for which this process knew that it was evacuated, in ms.
        known_ms: u64,
    },
}

impl Knowledge {
    /// The newest state, if there is any.
    pub fn state(&self) -> Option<&Evacuations> {
        self.state.as_ref()
    }

    /// Offset up to which the log is known.
    pub fn end(&self) -> u64 {
        self.state.as_ref().map_or(0, |it| it.end)
    }

    /// Names of the evacuated zones.
    pub fn zones(&self) -> BTreeSet<String> {
        self.since.keys().cloned().collect()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.since.contains_key(zone)
    }

    /// Whether an agent that started at `started` takes no work yet, as it knows no state.
    pub fn awaits_state(&self, now: Uptime, started: Uptime) -> bool {
        self.state.is_none() && now.since(started) < STARTUP_HOLD_MS
    }

    /// Whether members are notified of the state: a zone is evacuated, or was until recently.
    pub fn notifies_members(&self, now: Uptime) -> bool {
        let recent = |at: Uptime| now.since(at) < RESEND_AFTER_MS;
        !self.since.is_empty() || self.taken_back_at.is_some_and(recent)
    }

    /// Replaces the state by `other` if that is newer, and returns what has changed.
    ///
    /// A state covers a complete prefix of the log, so the one with the higher end holds all that
    /// the other does. None is returned if `other` is not newer.
    pub fn merge(&mut self, now: Uptime, other: Evacuations) -> Option<Vec<Change>> {
        if self.state.as_ref().is_some_and(|it| other.end <= it.end) {
            return None;
        }
        let mut changes = Vec::new();
        for (zone, offset) in &other.zones {
            if !self.since.contains_key(zone) {
                self.since.insert(zone.clone(), now);
                let (zone, offset) = (zone.clone(), *offset);
                changes.push(Change { zone, offset, kind: ChangeKind::Evacuated });
            }
        }
        for (zone, offset) in self.state.take().unwrap_or_default().zones {
            if !other.zones.contains_key(&zone)
                && let Some(since) = self.since.remove(&zone)
            {
                self.unknown.remove(&zone);
                self.taken_back_at = Some(now);
                let kind = ChangeKind::TakenBack { known_ms: now.since(since) };
                changes.push(Change { zone, offset, kind });
            }
        }
        self.state = Some(other);
        Some(changes)
    }

    /// Evacuated zones that no member belongs to, each returned once; their evacuation has no
    /// effect.
    pub fn unknown_zones(&mut self, now: Uptime, has_member: impl Fn(&str) -> bool) -> Vec<String> {
        let old = self.since.iter().filter(|(_, since)| now.since(**since) >= UNKNOWN_ZONE_MS);
        let new: Vec<_> = old
            .map(|it| it.0)
            .filter(|zone| !self.unknown.contains(*zone) && !has_member(zone))
            .cloned()
            .collect();
        self.unknown.extend(new.iter().cloned());
        new
    }
}
