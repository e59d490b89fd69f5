//! A job in progress.

use std::{net::SocketAddrV4, sync::Arc};

use mesh::{JobId, RunKey, Uptime};

use crate::{Route, estimate::Estimates, limits::USEFUL_OBJECTIVES, policy::Order};

/// A job as its caller sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Name, chosen by the caller.
    pub job: JobId,
    /// Name of the caller's request, for the log.
    pub request: String,
    /// Queue.
    pub route: Arc<Route>,
    /// What endpoints are to do.
    pub spec: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// Time for which the caller waits, in ms.
    pub patience: u64,
}

/// A step of a job: tasks that need the same.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// Thousandths of a core that a task needs.
    pub cpu: u32,
    /// Memory that a task needs, in MB.
    pub memory: u32,
    /// Accelerators that a task needs.
    pub gpus: u32,
    /// Run time that the caller declares, in ms.
    pub declared: u32,
    /// Steps that must be done first.
    pub after: Vec<usize>,
    /// Label that the endpoint must have.
    pub label: Option<String>,
    /// Tasks of the step that one endpoint may run.
    pub spread: Option<u16>,
    /// Rack near which the data is.
    pub rack: Option<String>,
}

/// A job in progress.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) submission: Submission,
    /// Callers that wait for the answer.
    pub(crate) tokens: Vec<u64>,
    pub(crate) arrived: Uptime,
    /// Time within which an answer is wanted, in ms.
    pub(crate) objective: u64,
    /// Latest start that keeps the objective.
    pub(crate) latest: Uptime,
    /// Position among waiting jobs.
    pub(crate) rank: Uptime,
    /// The caller leaves.
    pub(crate) deadline: Uptime,
    pub(crate) tasks: Vec<Task>,
    /// Some run of it may have started.
    pub(crate) ran: bool,
}

/// A task of a job.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) step: u16,
    pub(crate) index: u16,
    pub(crate) state: TaskState,
    pub(crate) runs: u32,
    pub(crate) failed: u32,
    /// Agents at which it failed.
    pub(crate) avoid: Vec<SocketAddrV4>,
}

/// How far a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Earlier steps are not done.
    Blocked,
    /// Waits for room.
    Waiting,
    /// An agent has it.
    Placed { agent: SocketAddrV4, key: RunKey },
    /// Its agent is gone; it may still run until then.
    Lost { over: Uptime },
    /// Done.
    Done,
}

impl Job {
    /// A job that has just arrived; its runs are numbered from `runs + 1`.
    pub(crate) fn new(
        now: Uptime,
        submission: Submission,
        token: u64,
        runs: u32,
        estimates: &Estimates,
        order: Order,
    ) -> Job {
        let route = &submission.route;
        let chain = longest_chain(&submission.steps, |step| {
            u64::from(estimates.expected(&route.name, step.declared))
        });
        let objective = (route.stretch * chain as f64) as u64 + route.target;
        let mut tasks = Vec::new();
        for (step, it) in (0..).zip(&submission.steps) {
            let state = if it.after.is_empty() { TaskState::Waiting } else { TaskState::Blocked };
            tasks.extend((0..it.count).map(|index| Task {
                step,
                index,
                state,
                runs,
                failed: 0,
                avoid: Vec::new(),
            }));
        }
        let latest = now + objective.saturating_sub(chain);
        let rank = match order {
            Order::LatestStart => latest,
            Order::FirstCome => now,
        };
        Job {
            tokens: vec![token],
            arrived: now,
            objective,
            latest,
            rank,
            deadline: now + submission.patience,
            tasks,
            ran: false,
            submission,
        }
    }

    /// Latest time at which an answer is of use.
    pub(crate) fn useful_until(&self) -> Uptime {
        self.deadline.min(self.arrived + self.objective * USEFUL_OBJECTIVES)
    }

    /// Position of a task.
    pub(crate) fn position(&self, key: RunKey) -> Option<usize> {
        self.tasks.iter().position(|it| it.step == key.step && it.index == key.index)
    }

    /// Whether tasks wait for room.
    pub(crate) fn waits(&self) -> bool {
        self.tasks.iter().any(|it| it.state == TaskState::Waiting)
    }

    /// Whether no run of it has started, and none can start any more.
    pub(crate) fn not_run(&self) -> bool {
        !self.ran && !self.tasks.iter().any(|it| matches!(it.state, TaskState::Placed { .. }))
    }

    /// Whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|it| it.state == TaskState::Done)
    }

    /// Runs that agents have.
    pub(crate) fn placed(&self) -> impl Iterator<Item = (SocketAddrV4, RunKey)> {
        self.tasks.iter().filter_map(|it| match it.state {
            TaskState::Placed { agent, key } => Some((agent, key)),
            TaskState::Blocked | TaskState::Waiting | TaskState::Lost { .. } | TaskState::Done => {
                None
            }
        })
    }

    /// Lets tasks wait for room whose earlier steps are done.
    pub(crate) fn unblock(&mut self) {
        let steps = &self.submission.steps;
        let done: Vec<bool> = (0..steps.len())
            .map(|step| {
                let mut tasks = self.tasks.iter().filter(|it| usize::from(it.step) == step);
                tasks.all(|it| it.state == TaskState::Done)
            })
            .collect();
        for task in &mut self.tasks {
            let after = &steps[usize::from(task.step)].after;
            if task.state == TaskState::Blocked && after.iter().all(|step| done[*step]) {
                task.state = TaskState::Waiting;
            }
        }
    }

    /// Thousandths of a core times ms of the tasks that wait for room.
    pub(crate) fn waiting_work(&self, estimates: &Estimates) -> u64 {
        self.work_of(estimates, |it| it.state == TaskState::Waiting)
    }

    /// Thousandths of a core times ms of all tasks.
    pub(crate) fn total_work(&self, estimates: &Estimates) -> u64 {
        self.work_of(estimates, |_| true)
    }

    fn work_of(&self, estimates: &Estimates, counts: impl Fn(&Task) -> bool) -> u64 {
        let route = &self.submission.route.name;
        let work = |it: &Task| {
            let step = &self.submission.steps[usize::from(it.step)];
            u64::from(step.cpu) * u64::from(estimates.expected(route, step.declared))
        };
        self.tasks.iter().filter(|it| counts(it)).map(work).sum()
    }
}

/// Longest chain of steps that follow each other, by `length` of a step.
fn longest_chain(steps: &[Step], length: impl Fn(&Step) -> u64) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let start = step.after.iter().filter_map(|it| ends.get(*it)).max().copied().unwrap_or(0);
        ends.push(start + length(step));
    }
    ends.into_iter().max().unwrap_or(0)
}
