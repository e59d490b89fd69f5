//! The runs that an agent knows and the room that they take.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
};

use mesh::{End, EndpointInfo, JobId, RunKey, Uptime};
use slotmap::{SlotMap, new_key_type};

use crate::limits::REMEMBER_MS;

new_key_type! {
    /// Key of a run in the table.
    pub(crate) struct RunSlot;
}

/// What all runs of one order need.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) spec: Arc<str>,
    pub(crate) cpu: u32,
    pub(crate) memory: u32,
    pub(crate) gpus: u32,
    pub(crate) expected: u32,
}

/// A run.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) entry: SocketAddrV4,
    /// Name by which the entry knows it.
    pub(crate) key: RunKey,
    /// Number by which the endpoint knows it: higher than those of earlier submissions.
    pub(crate) number: u32,
    pub(crate) work: Arc<Work>,
    pub(crate) phase: Phase,
    pub(crate) started: Uptime,
    pub(crate) percent: u32,
    pub(crate) progressed: Uptime,
    pub(crate) renumbered: u32,
    /// Times that its start was sent with the present number.
    pub(crate) starts: u32,
}

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for room.
    Queued { until: Uptime },
    /// The start has been sent.
    Starting,
    /// The endpoint has it.
    Running,
    /// It is to end, for this reason; the stop may be unanswered.
    Stopping { asked: Uptime, answered: Option<Uptime>, end: End },
}

/// Room on the endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Room {
    pub(crate) cpu: u32,
    pub(crate) memory: u32,
    pub(crate) gpus: u32,
}

/// Name of a run at the endpoint.
type Name = (JobId, u16, u16, u32);

/// All runs of one incarnation of the endpoint.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    runs: SlotMap<RunSlot, Run>,
    by_name: HashMap<Name, RunSlot>,
    by_key: HashMap<(SocketAddrV4, RunKey), RunSlot>,
    queue: BTreeMap<(Uptime, RunSlot), ()>,
    last: HashMap<(JobId, u16, u16), u32>,
    forget: VecDeque<(Uptime, (JobId, u16, u16))>,
    taken: Room,
}

impl Room {
    /// Whether `work` fits.
    pub(crate) fn fits(&self, work: &Work) -> bool {
        self.cpu >= work.cpu && self.memory >= work.memory && self.gpus >= work.gpus
    }
}

impl Phase {
    /// Whether the run takes room on the endpoint.
    pub(crate) fn takes_room(self) -> bool {
        match self {
            Phase::Queued { .. } => false,
            Phase::Starting | Phase::Running | Phase::Stopping { .. } => true,
        }
    }
}

impl Runs {
    /// Room that is free on an endpoint with these runs.
    pub(crate) fn free(&self, info: &EndpointInfo) -> Room {
        Room {
            cpu: info.cpu.saturating_sub(self.taken.cpu),
            memory: info.memory.saturating_sub(self.taken.memory),
            gpus: info.gpus.saturating_sub(self.taken.gpus),
        }
    }

    /// Adds a run to the queue; an order that was given before changes nothing.
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

    /// Takes room for a queued run and numbers it after all earlier runs of its task.
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

    /// Gives a run that has not started at the endpoint the next number.
    pub(crate) fn renumber(&mut self, slot: RunSlot) {
        let Some(run) = self.runs.get_mut(slot) else { return };
        let task = (run.key.job, run.key.step, run.key.index);
        self.by_name.remove(&(task.0, task.1, task.2, run.number));
        run.number += 1;
        run.renumbered += 1;
        self.last.insert(task, run.number);
        self.by_name.insert((task.0, task.1, task.2, run.number), slot);
    }

    /// Removes a run and gives its room back.
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

    /// Forgets the numbers of runs that ended long ago.
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

    /// Run that the endpoint knows by `key`.
    pub(crate) fn by_name(&self, key: RunKey) -> Option<RunSlot> {
        self.by_name.get(&(key.job, key.step, key.index, key.run)).copied()
    }

    /// Run that an entry knows by `key`.
    pub(crate) fn by_key(&self, entry: SocketAddrV4, key: RunKey) -> Option<RunSlot> {
        self.by_key.get(&(entry, key)).copied()
    }

    /// Queued runs, those with the least patience first.
    pub(crate) fn queued(&self) -> impl Iterator<Item = RunSlot> {
        self.queue.keys().map(|(_, slot)| *slot)
    }

    /// Whether anything takes room.
    pub(crate) fn any_active(&self) -> bool {
        self.queue.len() < self.runs.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
