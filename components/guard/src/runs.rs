//! Table of runs, and the accounting of the resources that they hold.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
};

use mesh::{End, EndpointInfo, JobId, RunKey, Uptime};
use slotmap::{SlotMap, new_key_type};

use crate::limits::REMEMBER_MS;

new_key_type! {
    /// Slot of a run in the table.
    pub(crate) struct RunSlot;
}

/// Specification and needs that the runs of an order share.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) spec: Arc<str>,
    pub(crate) cpu: u32,
    pub(crate) memory: u32,
    pub(crate) gpus: u32,
    /// Expected run time, in ms.
    pub(crate) expected: u32,
}

/// A queued or started run.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) entry: SocketAddrV4,
    /// Key under which the entry ordered it.
    pub(crate) key: RunKey,
    /// Run number at the endpoint: higher than those of earlier submissions of the task.
    pub(crate) number: u32,
    pub(crate) work: Arc<Work>,
    pub(crate) phase: Phase,
    /// Time of the start; of the order while it is queued.
    pub(crate) started: Uptime,
    /// Reported progress, in percent.
    pub(crate) percent: u32,
    /// Time at which the progress last rose.
    pub(crate) progressed: Uptime,
    /// Starts repeated under a higher number.
    pub(crate) renumbered: u32,
    /// Starts that were not answered, or not soon.
    pub(crate) starts: u32,
}

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for resources and is refused at `until`.
    Queued { until: Uptime },
    /// The start has been sent but not confirmed.
    Starting,
    /// The endpoint has confirmed the start.
    Running,
    /// A stop has been sent and may be unanswered; `end` is reported once the run is gone.
    Stopping { asked: Uptime, answered: Option<Uptime>, end: End },
}

/// Resources of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Room {
    pub(crate) cpu: u32,
    pub(crate) memory: u32,
    pub(crate) gpus: u32,
}

/// Task and run number, by which the endpoint identifies a run.
type Name = (JobId, u16, u16, u32);

/// All runs of one incarnation of the endpoint.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    runs: SlotMap<RunSlot, Run>,
    by_name: HashMap<Name, RunSlot>,
    by_key: HashMap<(SocketAddrV4, RunKey), RunSlot>,
    /// Queued runs, ordered by the time at which they are refused.
    queue: BTreeMap<(Uptime, RunSlot), ()>,
    /// Highest run number given to each task.
    last: HashMap<(JobId, u16, u16), u32>,
    /// Times at which the numbers of tasks are dropped.
    forget: VecDeque<(Uptime, (JobId, u16, u16))>,
    taken: Room,
}

impl Room {
    /// Whether they suffice for `work`.
    pub(crate) fn fits(&self, work: &Work) -> bool {
        self.cpu >= work.cpu && self.memory >= work.memory && self.gpus >= work.gpus
    }
}

impl Phase {
    /// Whether the run holds resources of the endpoint.
    pub(crate) fn takes_room(self) -> bool {
        match self {
            Phase::Queued { .. } => false,
            Phase::Starting | Phase::Running | Phase::Stopping { .. } => true,
        }
    }
}

impl Runs {
    /// Resources of the endpoint that no run holds.
    pub(crate) fn free(&self, info: &EndpointInfo) -> Room {
        Room {
            cpu: info.cpu.saturating_sub(self.taken.cpu),
            memory: info.memory.saturating_sub(self.taken.memory),
            gpus: info.gpus.saturating_sub(self.taken.gpus),
        }
    }

    /// Adds a run to the queue, unless the entry has ordered it before.
    pub(crate) fn queue(&mut self, run: Run) -> Option<RunSlot> {
        let id = (run.entry, run.key);
        let Phase::Queued { until } = run.phase else { return None };
        if self.by_key.contains_key(&id) {
            return None;
        }
        let slot = self.runs.insert(run);
        self.by_key.insert(id, slot);
        self.queue.insert((until, slot), ());
        Some(slot)
    }

    /// Allocates resources to a queued run and numbers it after all earlier runs of its task.
    pub(crate) fn start(&mut self, now: Uptime, slot: RunSlot) {
        let Some(run) = self.runs.get_mut(slot) else { return };
        let Phase::Queued { until } = run.phase else { return };
        self.queue.remove(&(until, slot));
        let task = (run.key.job, run.key.step, run.key.index);
        let last = self.last.get(&task).copied().unwrap_or(0);
        run.number = run.key.run.max(last + 1);
        run.phase = Phase::Starting;
        run.started = now;
        run.progressed = now;
        self.taken.cpu += run.work.cpu;
        self.taken.memory += run.work.memory;
        self.taken.gpus += run.work.gpus;
        self.last.insert(task, run.number);
        self.by_name.insert((task.0, task.1, task.2, run.number), slot);
    }

    /// Gives the next number to a run that the endpoint has not started.
    pub(crate) fn renumber(&mut self, slot: RunSlot) {
        let Some(run) = self.runs.get_mut(slot) else { return };
        let task = (run.key.job, run.key.step, run.key.index);
        self.by_name.remove(&(task.0, task.1, task.2, run.number));
        run.number += 1;
        run.renumbered += 1;
        self.last.insert(task, run.number);
        self.by_name.insert((task.0, task.1, task.2, run.number), slot);
    }

    /// Removes a run and releases its resources.
    pub(crate) fn remove(&mut self, now: Uptime, slot: RunSlot) -> Option<Run> {
        let run = self.runs.remove(slot)?;
        self.by_key.remove(&(run.entry, run.key));
        if let Phase::Queued { until } = run.phase {
            self.queue.remove(&(until, slot));
        } else {
            let task = (run.key.job, run.key.step, run.key.index);
            self.by_name.remove(&(task.0, task.1, task.2, run.number));
            self.forget.push_back((now + REMEMBER_MS, task));
            self.taken.cpu -= run.work.cpu;
            self.taken.memory -= run.work.memory;
            self.taken.gpus -= run.work.gpus;
        }
        Some(run)
    }

    /// Drops the numbers of tasks whose runs ended more than [`REMEMBER_MS`] ago.
    pub(crate) fn forget(&mut self, now: Uptime) {
        while let Some((at, task)) = self.forget.front().copied()
            && at <= now
        {
            self.forget.pop_front();
            self.last.remove(&task);
        }
    }

    pub(crate) fn get(&self, slot: RunSlot) -> Option<&Run> {
        self.runs.get(slot)
    }

    pub(crate) fn get_mut(&mut self, slot: RunSlot) -> Option<&mut Run> {
        self.runs.get_mut(slot)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RunSlot, &Run)> {
        self.runs.iter()
    }

    /// Run with this key at the endpoint.
    pub(crate) fn by_name(&self, key: RunKey) -> Option<RunSlot> {
        self.by_name.get(&(key.job, key.step, key.index, key.run)).copied()
    }

    /// Run that an entry has ordered under this key.
    pub(crate) fn by_key(&self, entry: SocketAddrV4, key: RunKey) -> Option<RunSlot> {
        self.by_key.get(&(entry, key)).copied()
    }

    /// Queued runs, those that are refused soonest first.
    pub(crate) fn queued(&self) -> impl Iterator<Item = RunSlot> {
        self.queue.keys().map(|(_, slot)| *slot)
    }

    /// Whether any run holds resources.
    pub(crate) fn any_active(&self) -> bool {
        self.queue.len() < self.runs.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
