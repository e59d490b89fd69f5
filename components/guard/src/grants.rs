//! How much of the free room is shown to each entry.
//!
//! Several entries place tasks by reports that are up to 100 ms old. If each saw all the free
//! room of an endpoint, most would order it, and all orders but the first would be refused. Room
//! that a report shows is therefore a grant: a part of it is kept back from the other entries
//! until the grant expires. A grant only shapes reports. An order without one is served if there
//! is room, and one that arrives after its grant expired is treated like any other.
//!
//! Little time is given to grants before entries whose jobs wait: at full load the room of one task
//! is all that is ever free, and what is left of it beside a grant is of use to nobody.

use mesh::Uptime;

/// Part of a grant that is kept back from other entries, in percent.
///
/// An entry seldom uses all that it is shown. The whole of it kept back made jobs wait beside
/// unused room.
const RESERVED_PERCENT: u32 = 50;
/// Time for which a grant is kept back from entries without waiting jobs, in ms.
const GRANT_MS: u64 = 60;
/// Time for which a grant is kept back from entries whose jobs wait, in ms; covers a report and the
/// order that it causes.
const GRANT_BEFORE_WAITING_MS: u64 = 6;

/// Room that the newest report to an entry has shown.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Grant {
    /// Thousandths of a core that were shown and not ordered since.
    cpu: u32,
    /// Time of the report.
    at: Uptime,
}

/// Room kept back for all entries, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reserved {
    /// Kept back from entries without waiting jobs.
    from_others: u64,
    /// Kept back from entries whose jobs wait.
    from_waiting: u64,
}

impl Grant {
    /// Records that a report shows `cpu`.
    pub(crate) fn renew(&mut self, now: Uptime, cpu: u32) {
        *self = Grant { cpu, at: now };
    }

    /// Records an order of `cpu`.
    pub(crate) fn take(&mut self, cpu: u32) {
        self.cpu = self.cpu.saturating_sub(cpu);
    }

    /// Part of the grant that is kept back from other entries.
    fn reserved(&self, now: Uptime) -> Reserved {
        let age = now.since(self.at);
        let cpu = u64::from(self.cpu) * u64::from(RESERVED_PERCENT) / 100;
        Reserved {
            from_others: if age < GRANT_MS { cpu } else { 0 },
            from_waiting: if age < GRANT_BEFORE_WAITING_MS { cpu } else { 0 },
        }
    }
}

impl Reserved {
    /// Room kept back for these grants.
    pub(crate) fn new<'a>(now: Uptime, grants: impl Iterator<Item = &'a Grant>) -> Reserved {
        let mut sum = Reserved::default();
        for grant in grants {
            sum.add(grant.reserved(now));
        }
        sum
    }

    /// Renews the grant of one entry with what others leave of `free`, and returns that.
    pub(crate) fn grant(&mut self, now: Uptime, grant: &mut Grant, waits: bool, free: u32) -> u32 {
        let before = grant.reserved(now);
        self.from_others -= before.from_others;
        self.from_waiting -= before.from_waiting;
        let kept_back = if waits { self.from_waiting } else { self.from_others };
        let shown = free.saturating_sub(u32::try_from(kept_back).unwrap_or(u32::MAX));
        grant.renew(now, shown);
        self.add(grant.reserved(now));
        shown
    }

    fn add(&mut self, other: Reserved) {
        self.from_others += other.from_others;
        self.from_waiting += other.from_waiting;
    }
}
