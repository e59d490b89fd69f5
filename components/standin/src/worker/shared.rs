//! State of the worker: running tasks and the resources they use.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use slab::Slab;
use tokio::{sync::watch, time::Instant};

use super::{
    WorkerOptions,
    protocol::{StartBody, StopCause, TaskId, Usage},
    running::{self, Control},
};
use crate::fault::Faults;

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: WorkerOptions,
    pub(super) faults: Arc<Faults>,
    pub(super) lapsed: AtomicU32,
    starts: Mutex<BTreeMap<TaskId, u32>>,
    tasks: Mutex<Tasks>,
}

/// Resources reserved for a task, released on drop.
#[derive(Debug)]
pub(super) struct Reservation {
    shared: Arc<Shared>,
    key: usize,
    control: watch::Receiver<Control>,
}

#[derive(Debug, Default)]
struct Tasks {
    slab: Slab<Task>,
    usage: Usage,
    history: VecDeque<Sample>,
}

#[derive(Debug)]
struct Task {
    id: TaskId,
    size: Usage,
    control: watch::Sender<Control>,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    usage: Usage,
}

impl Shared {
    pub(super) fn new(options: WorkerOptions, faults: Arc<Faults>) -> Shared {
        Shared {
            options,
            faults,
            lapsed: AtomicU32::new(0),
            starts: Mutex::default(),
            tasks: Mutex::default(),
        }
    }

    /// Number of starts of each task.
    pub(super) fn starts(&self) -> MutexGuard<'_, BTreeMap<TaskId, u32>> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of running tasks.
    pub(super) fn running(&self) -> usize {
        self.tasks().slab.len()
    }

    /// Reserves resources for a task and counts its start; fails if they are not free.
    pub(super) fn start(self: &Arc<Self>, body: &StartBody) -> Result<Reservation, String> {
        let size = Usage {
            cores: body.cores,
            memory_mb: body.memory_mb,
            accelerators: body.accelerators,
            tasks: 1,
        };
        let mut tasks = self.tasks();
        self.check_capacity(tasks.usage, size)?;

        let id = TaskId { job: body.job, index: body.index };
        let lease_until = Instant::now() + Duration::from_millis(body.lease_ms);
        let (sender, control) = watch::channel(Control { lease_until, percent: 100, stop: None });
        let key = tasks.slab.insert(Task { id, size, control: sender });
        let usage = add(tasks.usage, size);
        tasks.set_usage(usage, self.options.usage_lag);
        *self.starts().entry(id).or_default() += 1;
        Ok(Reservation { shared: Arc::clone(self), key, control })
    }

    /// Changes the settings of a task; false if it is not running.
    pub(super) fn control(&self, id: TaskId, change: impl Fn(&mut Control)) -> bool {
        let tasks = self.tasks();
        let mut found = false;
        for (_, task) in tasks.slab.iter().filter(|(_, task)| task.id == id) {
            task.control.send_modify(&change);
            found = true;
        }
        found
    }

    /// Resources in use as of `usage_lag` ago.
    pub(super) fn lagging_usage(&self) -> Usage {
        let tasks = self.tasks();
        let seen = Instant::now().checked_sub(self.options.usage_lag);
        let sample = tasks.history.iter().rev().find(|sample| Some(sample.at) <= seen);
        sample.map_or(Usage::default(), |sample| sample.usage)
    }

    fn check_capacity(&self, usage: Usage, size: Usage) -> Result<(), String> {
        let WorkerOptions { cores, memory_mb, accelerators, .. } = self.options;
        let wanted = add(usage, size);
        if wanted.cores <= cores
            && wanted.memory_mb <= memory_mb
            && wanted.accelerators <= accelerators
        {
            return Ok(());
        }
        Err(format!(
            "{} cores, {} MB and {} accelerators would be in use of {cores}, {memory_mb} and \
             {accelerators}",
            wanted.cores, wanted.memory_mb, wanted.accelerators
        ))
    }

    fn tasks(&self) -> MutexGuard<'_, Tasks> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reservation {
    /// Runs until the task ends or is stopped, then releases its resources.
    pub(super) async fn work(self, run_time: Duration) -> Result<(), StopCause> {
        let ended = tokio::select! {
            ended = running::work(run_time, self.control.clone()) => ended,
            () = self.shared.faults.down() => Err(StopCause::WorkerDown),
        };
        if ended == Err(StopCause::LeaseLapsed) {
            self.shared.lapsed.fetch_add(1, Ordering::SeqCst);
        }
        ended
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut tasks = self.shared.tasks();
        let task = tasks.slab.remove(self.key);
        let usage = subtract(tasks.usage, task.size);
        tasks.set_usage(usage, self.shared.options.usage_lag);
    }
}

impl Tasks {
    /// Records the usage and drops samples older than any that a report can use.
    fn set_usage(&mut self, usage: Usage, lag: Duration) {
        let now = Instant::now();
        self.usage = usage;
        self.history.push_back(Sample { at: now, usage });
        while self.history.get(1).is_some_and(|next| now.duration_since(next.at) >= lag) {
            self.history.pop_front();
        }
    }
}

fn add(a: Usage, b: Usage) -> Usage {
    Usage {
        cores: a.cores.saturating_add(b.cores),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
        accelerators: a.accelerators.saturating_add(b.accelerators),
        tasks: a.tasks.saturating_add(b.tasks),
    }
}

fn subtract(a: Usage, b: Usage) -> Usage {
    Usage {
        cores: a.cores - b.cores,
        memory_mb: a.memory_mb - b.memory_mb,
        accelerators: a.accelerators - b.accelerators,
        tasks: a.tasks - b.tasks,
    }
}
