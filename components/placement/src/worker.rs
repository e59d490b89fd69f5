//! What is known of one worker.

use std::time::Duration;

use config::State;
use ident::{NodeId, Timestamp};

use crate::{Health, Resources};

/// Bad jobs in a row after which this process avoids a worker.
const BAD_JOBS: u32 = 2;
/// Time for which a report of busy cores counts.
pub(crate) const REPORT_TERM: Duration = Duration::from_secs(1);
/// Time in which most of the tasks in a report have ended and others begun.
const REPORT_FADE: Duration = Duration::from_millis(200);

/// What is known of one worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) capacity: Resources,
    pub(crate) rack: String,
    pub(crate) zone: String,
    pub(crate) state: State,
    /// Node beside it, once announced.
    pub(crate) node: Option<NodeId>,
    pub(crate) leaving: bool,
    /// What this process has placed on it.
    pub(crate) reserved: Resources,
    /// Cores that others seem to use.
    pub(crate) others: u32,
    /// When that was reported.
    pub(crate) reported_at: Timestamp,
    /// Starts that it refused in a row.
    pub(crate) refusals: u32,
    /// It refused a start and is not asked again before this time.
    pub(crate) paused_until: Timestamp,
    pub(crate) health: Health,
}

/// Order in which workers are considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Tier {
    /// Takes the task.
    Preferred,
    /// Takes the task if no preferred worker has room: it is slow, on
    /// probation, or has accelerators that the task does not need.
    LastResort,
    /// Takes the task only if too many workers are ejected.
    Ejected,
    /// Takes no tasks.
    Closed,
}

impl Worker {
    /// Creates a worker that has not been announced.
    pub(crate) fn new() -> Worker {
        Worker {
            capacity: Resources::default(),
            rack: String::new(),
            zone: String::new(),
            state: State::Active,
            node: None,
            leaving: false,
            reserved: Resources::default(),
            others: 0,
            reported_at: Timestamp::ZERO,
            refusals: 0,
            paused_until: Timestamp::ZERO,
            health: Health::new(BAD_JOBS),
        }
    }

    /// Whether the worker takes tasks of this size, and how gladly.
    pub(crate) fn tier(&self, size: Resources, now: Timestamp) -> Tier {
        if !self.takes_work() || now < self.paused_until {
            return Tier::Closed;
        }
        if self.health.is_ejected(now) {
            return Tier::Ejected;
        }
        let spares_accelerators = self.capacity.accelerators > 0 && size.accelerators == 0;
        if spares_accelerators || self.health.is_slow(now) || self.health.on_probation(now) {
            return Tier::LastResort;
        }
        Tier::Preferred
    }

    /// Whether the worker is announced and neither draining nor leaving.
    pub(crate) fn takes_work(&self) -> bool {
        self.node.is_some() && !self.leaving && self.state == State::Active
    }

    /// What the latest report says is left; old reports count for nothing.
    pub(crate) fn reported_room(&self, now: Timestamp) -> Resources {
        let others = match now.since(self.reported_at) < REPORT_TERM {
            true => self.others,
            false => 0,
        };
        self.room(others, now)
    }

    /// What is probably left: as a report ages, the load of this worker is
    /// expected to return to `average`, the cores that others use on a worker.
    pub(crate) fn expected_room(&self, average: u32, now: Timestamp) -> Resources {
        let age = now.since(self.reported_at).min(REPORT_FADE).as_micros() as u64;
        let fade = REPORT_FADE.as_micros() as u64;
        let others = u64::from(self.others) * (fade - age) + u64::from(average) * age;
        self.room((others / fade) as u32, now)
    }

    /// Share of the room that one job takes at a time, as others place here too;
    /// it is enough for a first task of the given size.
    pub(crate) fn share(&self, room: Resources, first: Resources, now: Timestamp) -> Resources {
        match self.is_proving(now) {
            true => first,
            false => room.quarter().max(first),
        }
    }

    fn is_proving(&self, now: Timestamp) -> bool {
        self.health.is_ejected(now) || self.health.on_probation(now)
    }

    fn room(&self, others: u32, now: Timestamp) -> Resources {
        if self.is_proving(now) && self.reserved != Resources::default() {
            return Resources::default();
        }
        let mut room = self.capacity.minus(self.reserved);
        room.cores = room.cores.saturating_sub(others);
        room
    }
}
