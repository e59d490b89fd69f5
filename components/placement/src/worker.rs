//! State of one worker: capacity, reservations and reported load.

use std::time::Duration;

use config::State;
use ident::{NodeId, Timestamp};

use crate::{Health, Resources};

/// Failed or slow jobs in a row after which this process avoids a worker.
const BAD_JOB_LIMIT: u32 = 2;
/// Time after which a report of busy cores is ignored.
pub(crate) const REPORT_TTL: Duration = Duration::from_secs(1);
/// Time over which a reported load decays to the average, as most of its tasks have
/// ended by then and others have started.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(200);

/// A worker of the inventory.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) capacity: Resources,
    pub(crate) rack: String,
    pub(crate) zone: String,
    pub(crate) state: State,
    /// Node of its agent, once it has reported.
    pub(crate) node: Option<NodeId>,
    pub(crate) leaving: bool,
    /// Resources of the tasks that this process has placed on it.
    pub(crate) reserved: Resources,
    /// Cores in use by others, from reports and refusals.
    pub(crate) other_cores: u32,
    /// Time of the latest report, or of a refusal that raised `other_cores`.
    pub(crate) reported_at: Timestamp,
    /// Starts refused in a row; limited to the doublings of the pause.
    pub(crate) refusals: u32,
    /// Time before which it gets no tasks, as it refused a start.
    pub(crate) paused_until: Timestamp,
    pub(crate) health: Health,
}

/// Tier of a worker for a task, in the order in which workers are considered.
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
    Unavailable,
}

impl Worker {
    /// Creates a worker that has not reported yet.
    pub(crate) fn new() -> Worker {
        Worker {
            capacity: Resources::default(),
            rack: String::new(),
            zone: String::new(),
            state: State::Active,
            node: None,
            leaving: false,
            reserved: Resources::default(),
            other_cores: 0,
            reported_at: Timestamp::ZERO,
            refusals: 0,
            paused_until: Timestamp::ZERO,
            health: Health::new(BAD_JOB_LIMIT),
        }
    }

    /// Tier of the worker for tasks of the given size.
    pub(crate) fn tier(&self, size: Resources, now: Timestamp) -> Tier {
        if !self.takes_work() || now < self.paused_until {
            return Tier::Unavailable;
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

    /// Whether the worker has reported and is neither draining nor leaving.
    pub(crate) fn takes_work(&self) -> bool {
        self.node.is_some() && !self.leaving && self.state == State::Active
    }

    /// Room according to the latest report; old reports are ignored.
    pub(crate) fn reported_room(&self, now: Timestamp) -> Resources {
        let other_cores = match now.since(self.reported_at) < REPORT_TTL {
            true => self.other_cores,
            false => 0,
        };
        self.room(other_cores, now)
    }

    /// Expected room: as the report ages, the load of others decays linearly to
    /// `average`, their mean load on a worker.
    pub(crate) fn expected_room(&self, average: u32, now: Timestamp) -> Resources {
        let age = now.since(self.reported_at).min(REPORT_DECAY_TIME).as_micros() as u64;
        let decay_time = REPORT_DECAY_TIME.as_micros() as u64;
        let other_cores =
            u64::from(self.other_cores) * (decay_time - age) + u64::from(average) * age;
        self.room((other_cores / decay_time) as u32, now)
    }

    /// Share of the room that one job takes at a time, as other coordinators place
    /// here too; always enough for a first task of the given size.
    pub(crate) fn share(&self, room: Resources, first: Resources, now: Timestamp) -> Resources {
        match self.is_restricted(now) {
            true => first,
            false => room.quarter().max(first),
        }
    }

    /// Whether the worker gets one task at a time: it is ejected or on probation.
    fn is_restricted(&self, now: Timestamp) -> bool {
        self.health.is_ejected(now) || self.health.on_probation(now)
    }

    fn room(&self, other_cores: u32, now: Timestamp) -> Resources {
        if self.is_restricted(now) && self.reserved != Resources::default() {
            return Resources::default();
        }
        let mut room = self.capacity.minus(self.reserved);
        room.cores = room.cores.saturating_sub(other_cores);
        room
    }
}
