//! What is known of one worker.

use config::State;
use ident::{NodeId, Timestamp};

use crate::{Health, Resources};

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
    /// Time from which that is too old to count.
    pub(crate) others_until: Timestamp,
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
            others_until: Timestamp::ZERO,
            refusals: 0,
            paused_until: Timestamp::ZERO,
            health: Health::default(),
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

    /// What is left for a further task.
    pub(crate) fn room(&self, now: Timestamp) -> Resources {
        let proving = self.health.is_ejected(now) || self.health.on_probation(now);
        if proving && self.reserved != Resources::default() {
            return Resources::default();
        }
        let mut room = self.capacity.minus(self.reserved);
        if now < self.others_until {
            room.cores = room.cores.saturating_sub(self.others);
        }
        room
    }
}
