//! How much of the free room is shown to each entry.
//!
//! Several entries place tasks by reports that are up to 100 ms old. If each saw all the free
//! room of an endpoint, most would order it, and all orders but the first would be refused. Room
//! that a report shows is therefore a grant: a part of it is kept back from the other entries
//! until the grant expires. A grant only shapes reports. An order without one is served if there
//! is room, and one that arrives after its grant expired is treated like any other.
//!
//! Nothing is kept back from an entry whose jobs wait: at full load the room of one task is all
//! that is ever free, and half of it is of use to nobody. Such entries are told in turn instead.

use mesh::Uptime;

/// Part of a grant that is kept back from other entries, in percent.
///
/// An entry seldom uses all that it is shown. The whole of it kept back made jobs wait beside
/// unused room.
const RESERVED_PERCENT: u32 = 50;
/// Time for which a grant is kept back from entries without waiting jobs, in ms.
const GRANT_MS: u64 = 60;

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
pub(crate) struct Reserved(u64);

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
    fn reserved(&self, now: Uptime) -> u64 {
        let cpu = u64::from(self.cpu) * u64::from(RESERVED_PERCENT) / 100;
        if now.since(self.at) < GRANT_MS { cpu } else { 0 }
    }
}

impl Reserved {
    /// Room kept back for these grants.
    pub(crate) fn new<'a>(now: Uptime, grants: impl Iterator<Item = &'a Grant>) -> Reserved {
        Reserved(grants.map(|it| it.reserved(now)).sum())
    }

    /// Renews the grant of one entry with what others leave of `free`, and returns that.
    pub(crate) fn grant(&mut self, now: Uptime, grant: &mut Grant, waits: bool, free: u32) -> u32 {
        self.0 -= grant.reserved(now);
        let kept_back = if waits { 0 } else { self.0 };
        let shown = free.saturating_sub(u32::try_from(kept_back).unwrap_or(u32::MAX));
        grant.renew(now, shown);
        self.0 += grant.reserved(now);
        shown
    }
}
