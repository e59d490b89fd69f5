//! Table of runs, and the accounting of the resources that they hold.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
};

use mesh::{End, JobId, RunKey, Uptime};
use slotmap::{SlotMap, new_key_type};

use crate::{call::Answer, limits::RUN_NUMBER_EXPIRY_MS};

new_key_type! {
    /// Slot of a run in the table.
    pub(crate) struct RunSlot;
}

/// Specification and resource needs that the runs of an order share.
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
    /// Time of the start; while the run is queued, arrival of its order.
    pub(crate) started: Uptime,
    /// Progress that the endpoint has reported.
    pub(crate) progress_percent: u32,
    /// Time at which the endpoint last listed the run with that progress.
    pub(crate) listed: Uptime,
    /// Time of the start, or of the last rise of the progress.
    pub(crate) last_progress: Uptime,
    /// Retries of the start under a higher run number.
    pub(crate) number_retries: u32,
    /// Timeouts of the start; its hedge counts as one.
    pub(crate) start_timeouts: u32,
    /// Time at which the last copy of the start was sent.
    pub(crate) last_copy: Uptime,
    /// The endpoint's instance is known to have carried out all copies: it has listed the run since.
    pub(crate) is_confirmed: bool,
    /// Copies of the start under the present number.
    pub(crate) copies: Copies,
}

/// Copies of a start that were sent under one run number, by what is known of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Copies {
    pub(crate) sent: u32,
    /// Sent and neither answered nor timed out.
    pub(crate) in_flight: u32,
    /// Accepted.
    pub(crate) accepted: u32,
    /// Timed out; the endpoint may have started the run, or may yet.
    pub(crate) unanswered: u32,
    /// A copy was rejected.
    pub(crate) rejected: bool,
}

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for resources and is refused at `refuse_at`.
    Queued { refuse_at: Uptime },
    /// The start has been sent but not confirmed.
    Starting,
    /// The endpoint has confirmed the start.
    Running,
    /// A stop has been sent and may be unanswered; `end` is reported once the run is gone.
    Stopping { requested: Uptime, answered: Option<Uptime>, end: End },
}

/// Resources of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Resources {
    pub(crate) cpu: u32,
    pub(crate) memory: u32,
    pub(crate) gpus: u32,
}

/// Job, step and index of a task.
type TaskKey = (JobId, u16, u16);

/// Task and run number, by which the endpoint identifies a run.
type EndpointKey = (JobId, u16, u16, u32);

/// Run numbers of a task.
#[derive(Debug, Default)]
struct Numbers {
    /// Highest number given to a run.
    last: u32,
    /// Number of runs that hold resources.
    active: u32,
    /// Time at which the numbers are dropped if no run holds resources.
    expiry: Uptime,
}

/// All runs of one instance of the endpoint.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    runs: SlotMap<RunSlot, Run>,
    by_endpoint_key: HashMap<EndpointKey, RunSlot>,
    by_entry_key: HashMap<(SocketAddrV4, RunKey), RunSlot>,
    /// Queued runs, ordered by the time at which they are refused.
    queue: BTreeMap<(Uptime, RunSlot), ()>,
    numbers: HashMap<TaskKey, Numbers>,
    /// Times at which the numbers of tasks may be dropped.
    expiries: VecDeque<(Uptime, TaskKey)>,
    allocated: Resources,
}

impl Work {
    /// Resources that a run of it holds.
    pub(crate) fn needs(&self) -> Resources {
        Resources { cpu: self.cpu, memory: self.memory, gpus: self.gpus }
    }
}

impl Resources {
    pub(crate) fn plus(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// What is left of them without `other`.
    pub(crate) fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Whether `work` fits into these resources.
    pub(crate) fn can_fit(&self, work: &Work) -> bool {
        self.cpu >= work.cpu && self.memory >= work.memory && self.gpus >= work.gpus
    }
}

impl Copies {
    /// Counts a copy that is sent.
    pub(crate) fn send(&mut self) {
        self.sent += 1;
        self.in_flight += 1;
    }

    /// Counts the answer to a copy, or that there is none.
    pub(crate) fn settle(&mut self, answer: &Answer) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match answer {
            Answer::Accepted { .. } => self.accepted += 1,
            Answer::Unknown | Answer::Seen(_) => self.unanswered += 1,
            Answer::Rejected(_) | Answer::Unsent => {}
        }
    }

    /// Copies that may have been carried out.
    pub(crate) fn not_rejected(self) -> u32 {
        self.accepted + self.unresolved()
    }

    /// Copies that may have started the run without an answer that says so.
    pub(crate) fn unresolved(self) -> u32 {
        self.in_flight + self.unanswered
    }
}

impl Phase {
    /// Whether the run holds resources of the endpoint.
    pub(crate) fn holds_resources(self) -> bool {
        match self {
            Phase::Queued { .. } => false,
            Phase::Starting | Phase::Running | Phase::Stopping { .. } => true,
        }
    }
}

impl Runs {
    /// Resources in `room` that no run holds.
    pub(crate) fn free(&self, room: Resources) -> Resources {
        room.minus(self.allocated)
    }

    /// Resources that runs hold.
    pub(crate) fn allocated(&self) -> Resources {
        self.allocated
    }

    /// Adds a run to the queue, unless the entry has ordered it before.
    pub(crate) fn enqueue(&mut self, run: Run) -> Option<RunSlot> {
        let id = (run.entry, run.key);
        let Phase::Queued { refuse_at } = run.phase else { return None };
        if self.by_entry_key.contains_key(&id) {
            return None;
        }
        let slot = self.runs.insert(run);
        self.by_entry_key.insert(id, slot);
        self.queue.insert((refuse_at, slot), ());
        Some(slot)
    }

    /// Allocates resources to a queued run and numbers it after all earlier runs of its task.
    pub(crate) fn start(&mut self, now: Uptime, slot: RunSlot) {
        let Some(run) = self.runs.get_mut(slot) else { return };
        let Phase::Queued { refuse_at } = run.phase else { return };
        self.queue.remove(&(refuse_at, slot));
        let task = (run.key.job, run.key.step, run.key.index);
        let numbers = self.numbers.entry(task).or_default();
        numbers.last = run.key.run.max(numbers.last.saturating_add(1));
        numbers.active += 1;
        run.number = numbers.last;
        run.phase = Phase::Starting;
        run.started = now;
        run.last_progress = now;
        self.allocated.cpu += run.work.cpu;
        self.allocated.memory += run.work.memory;
        self.allocated.gpus += run.work.gpus;
        self.by_endpoint_key.insert((task.0, task.1, task.2, run.number), slot);
    }

    /// Gives the next number of its task to a run that the endpoint has not started.
    pub(crate) fn raise_number(&mut self, slot: RunSlot) {
        let Some(run) = self.runs.get_mut(slot) else { return };
        let task = (run.key.job, run.key.step, run.key.index);
        self.by_endpoint_key.remove(&(task.0, task.1, task.2, run.number));
        let numbers = self.numbers.entry(task).or_default();
        numbers.last = numbers.last.saturating_add(1);
        run.number = numbers.last;
        run.number_retries += 1;
        run.copies = Copies::default();
        self.by_endpoint_key.insert((task.0, task.1, task.2, run.number), slot);
    }

    /// Removes a run and releases its resources.
    pub(crate) fn remove(&mut self, now: Uptime, slot: RunSlot) -> Option<Run> {
        let run = self.runs.remove(slot)?;
        self.by_entry_key.remove(&(run.entry, run.key));
        if let Phase::Queued { refuse_at } = run.phase {
            self.queue.remove(&(refuse_at, slot));
        } else {
            let task = (run.key.job, run.key.step, run.key.index);
            self.by_endpoint_key.remove(&(task.0, task.1, task.2, run.number));
            let expiry = now + RUN_NUMBER_EXPIRY_MS;
            if let Some(numbers) = self.numbers.get_mut(&task) {
                numbers.active -= 1;
                numbers.expiry = expiry;
            }
            self.expiries.push_back((expiry, task));
            self.allocated.cpu -= run.work.cpu;
            self.allocated.memory -= run.work.memory;
            self.allocated.gpus -= run.work.gpus;
        }
        Some(run)
    }

    /// Drops the numbers of tasks whose runs ended more than [`RUN_NUMBER_EXPIRY_MS`] ago.
    pub(crate) fn expire_numbers(&mut self, now: Uptime) {
        while let Some((at, task)) = self.expiries.front().copied()
            && at <= now
        {
            self.expiries.pop_front();
            let is_expired = |it: &Numbers| it.active == 0 && it.expiry <= now;
            if self.numbers.get(&task).is_some_and(is_expired) {
                self.numbers.remove(&task);
            }
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
    pub(crate) fn by_endpoint_key(&self, key: RunKey) -> Option<RunSlot> {
        self.by_endpoint_key.get(&(key.job, key.step, key.index, key.run)).copied()
    }

    /// Run that an entry has ordered under this key.
    pub(crate) fn by_entry_key(&self, entry: SocketAddrV4, key: RunKey) -> Option<RunSlot> {
        self.by_entry_key.get(&(entry, key)).copied()
    }

    /// Queued runs, those that are refused soonest first.
    pub(crate) fn queued(&self) -> impl Iterator<Item = RunSlot> {
        self.queue.keys().map(|(_, slot)| *slot)
    }

    /// Whether any run holds resources.
    pub(crate) fn has_active(&self) -> bool {
        self.queue.len() < self.runs.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
