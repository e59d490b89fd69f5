//! A job in progress.

use std::{net::SocketAddrV4, sync::Arc};

use mesh::{EndpointInfo, JobId, RunKey, Uptime};

use crate::{
    Route, crashes::Verdict, estimate::Estimates, limits::MAX_OBJECTIVE_MULTIPLE,
    policy::QueueOrder,
};

/// Largest work that a job counts for, in thousandths of a core times ms, so that the work of jobs
/// can be added up; about 300 core-hours.
const MAX_WORK: u64 = 1 << 40;

/// Memory of a task's run in the orders to its agent, in bytes.
const RUN_BYTES: usize = 3 * size_of::<RunKey>();

/// A job as submitted by its caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Id of the job, chosen by the caller.
    pub job: JobId,
    /// Id of the caller's request, for the log.
    pub request: String,
    /// Route of the job.
    pub route: Arc<Route>,
    /// Specification of the work, passed to endpoints as it is.
    pub spec: String,
    /// Steps of the job; each follows only steps before it.
    pub steps: Vec<Step>,
    /// Time for which the caller waits, in ms.
    pub timeout: u64,
}

/// A step of a job: tasks with the same requirements.
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
    /// Steps that must be done first, by their positions.
    pub after: Vec<usize>,
    /// Label that the endpoint must have.
    pub label: Option<String>,
    /// Tasks of the step that one endpoint may run at a time.
    pub per_endpoint: Option<u16>,
    /// Label of the rack that holds the data.
    pub rack: Option<String>,
}

impl Submission {
    /// Estimate of the memory that the job takes while it is in progress, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let strings = |step: &Step| {
            step.label.as_ref().map_or(0, String::len) + step.rack.as_ref().map_or(0, String::len)
        };
        let step = |step: &Step| {
            size_of::<Step>()
                + step.after.capacity() * size_of::<usize>()
                + strings(step)
                + usize::from(step.count) * (size_of::<Task>() + RUN_BYTES)
        };
        let own = size_of::<Job>() + self.request.len() + self.spec.len();
        own + self.steps.iter().map(step).sum::<usize>()
    }
}

/// A job in progress.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) submission: Submission,
    /// Numbers of the requests that wait for the answer.
    pub(crate) request_numbers: Vec<u64>,
    pub(crate) arrived: Uptime,
    /// Target time from arrival to answer, in ms.
    pub(crate) objective: u64,
    /// Latest start with which the job is expected to meet its objective.
    pub(crate) latest_start: Uptime,
    /// Sort key among waiting jobs.
    pub(crate) rank: Uptime,
    /// Time at which the caller stops waiting.
    pub(crate) deadline: Uptime,
    /// Tasks in the order of their steps.
    pub(crate) tasks: Vec<Task>,
    /// Position in `tasks` of the first task of each step.
    first_tasks: Vec<usize>,
    /// Whether a run has ended or was lost, so that some of the job may have run.
    pub(crate) maybe_ran: bool,
    /// Whether an agent has stopped a run of it.
    pub(crate) has_returned: bool,
}

/// A task of a job.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) step: u16,
    pub(crate) index: u16,
    pub(crate) state: TaskState,
    /// Number of the newest run.
    pub(crate) last_run: u32,
    /// Number of failed runs.
    pub(crate) failures: u32,
    /// Agents at which a run failed or stalled.
    pub(crate) excluded: Vec<SocketAddrV4>,
    /// How it may run, by the crashes of its endpoints.
    pub(crate) verdict: Verdict,
    /// Whether its newest run was ordered to be alone on its endpoint.
    pub(crate) runs_apart: bool,
    /// Time from which it has waited for the rack of its data while it could run elsewhere; none
    /// if it does not wait or finds room nowhere.
    pub(crate) waits_for_rack: Option<Uptime>,
}

/// Progress of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Steps that it follows are not done.
    Blocked,
    /// Waits for free capacity.
    Waiting,
    /// Assigned to an agent.
    Placed { agent: SocketAddrV4, key: RunKey },
    /// Its agent is unreachable or has restarted, but the run may continue until `expiry`.
    Lost { agent: SocketAddrV4, expiry: Uptime },
    /// A run of it has finished.
    Done,
}

impl Task {
    /// Whether it waits for free capacity, and neither only for that of its rack nor for news of
    /// crashes.
    fn waits_for_any_room(&self) -> bool {
        self.state == TaskState::Waiting
            && self.waits_for_rack.is_none()
            && self.verdict == Verdict::Clear
    }

    /// Whether it waits for an endpoint of its own.
    pub(crate) fn waits_apart(&self) -> bool {
        self.state == TaskState::Waiting && self.verdict == Verdict::Apart
    }

    /// Assigns the next run to an agent.
    pub(crate) fn place(&mut self, job: JobId, agent: SocketAddrV4) -> RunKey {
        self.waits_for_rack = None;
        self.last_run += 1;
        let key = RunKey { job, step: self.step, index: self.index, run: self.last_run };
        self.state = TaskState::Placed { agent, key };
        key
    }
}

impl Step {
    /// Whether an idle endpoint with these properties could run a task of the step.
    pub(crate) fn can_run_on(&self, info: &EndpointInfo) -> bool {
        self.label.as_ref().is_none_or(|label| info.labels.contains(label))
            && info.cpu >= self.cpu
            && info.memory >= self.memory
            && info.gpus >= self.gpus
    }

    /// Whether the data of its tasks is on another rack than the endpoint.
    pub(crate) fn is_remote_at(&self, info: &EndpointInfo) -> bool {
        self.rack.as_ref().is_some_and(|rack| !info.labels.contains(rack))
    }
}

impl Job {
    /// Creates a job; its runs are numbered from `last_run + 1`.
    pub(crate) fn new(
        arrived: Uptime,
        submission: Submission,
        request_number: u64,
        last_run: u32,
        estimates: &Estimates,
        order: QueueOrder,
    ) -> Job {
        let route = &submission.route;
        let run_time = critical_path(&submission.steps, |step| {
            u64::from(estimates.expected(&route.name, step.declared))
        });
        let objective = (route.objective_factor * run_time as f64) as u64;
        let objective = objective.saturating_add(route.target);
        let mut tasks = Vec::new();
        let mut first_tasks = Vec::with_capacity(submission.steps.len());
        for (it, step) in submission.steps.iter().zip(0..) {
            first_tasks.push(tasks.len());
            let state = if it.after.is_empty() { TaskState::Waiting } else { TaskState::Blocked };
            tasks.extend((0..it.count).map(|index| Task {
                step,
                index,
                state,
                last_run,
                failures: 0,
                excluded: Vec::new(),
                verdict: Verdict::Clear,
                runs_apart: false,
                waits_for_rack: None,
            }));
        }
        let latest_start = arrived + objective.saturating_sub(run_time);
        let rank = match order {
            QueueOrder::LatestStart => latest_start,
            QueueOrder::Fifo => arrived,
        };
        Job {
            request_numbers: vec![request_number],
            arrived,
            objective,
            latest_start,
            rank,
            deadline: arrived + submission.timeout,
            tasks,
            first_tasks,
            maybe_ran: false,
            has_returned: false,
            submission,
        }
    }

    /// Time after which an answer is of no use to the caller.
    pub(crate) fn useful_until(&self) -> Uptime {
        self.deadline.min(self.arrived + self.objective.saturating_mul(MAX_OBJECTIVE_MULTIPLE))
    }

    /// Position in `tasks` of the task that `key` is a run of.
    pub(crate) fn position(&self, key: RunKey) -> Option<usize> {
        let position = self.first_tasks.get(usize::from(key.step))? + usize::from(key.index);
        self.tasks.get(position).filter(|it| it.step == key.step).map(|_| position)
    }

    /// Whether any task waits for free capacity.
    pub(crate) fn is_waiting(&self) -> bool {
        self.tasks.iter().any(|it| it.state == TaskState::Waiting)
    }

    /// Whether any task waits for free capacity, and not only for that of its rack.
    pub(crate) fn waits_for_any_room(&self) -> bool {
        self.tasks.iter().any(Task::waits_for_any_room)
    }

    /// Whether no run can have started: no run has ended or was lost, and no agent has an order
    /// that may still start one.
    pub(crate) fn cannot_have_run(&self) -> bool {
        !self.maybe_ran && !self.tasks.iter().any(|it| matches!(it.state, TaskState::Placed { .. }))
    }

    /// Whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|it| it.state == TaskState::Done)
    }

    /// Runs that are assigned to agents.
    pub(crate) fn placed(&self) -> impl Iterator<Item = (SocketAddrV4, RunKey)> {
        self.tasks.iter().filter_map(|it| match it.state {
            TaskState::Placed { agent, key } => Some((agent, key)),
            TaskState::Blocked | TaskState::Waiting | TaskState::Lost { .. } | TaskState::Done => {
                None
            }
        })
    }

    /// Agents of runs that were ordered to be alone on their endpoint.
    pub(crate) fn placed_apart(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.tasks.iter().filter(|it| it.runs_apart).filter_map(|it| match it.state {
            TaskState::Placed { agent, .. } => Some(agent),
            TaskState::Blocked | TaskState::Waiting | TaskState::Lost { .. } | TaskState::Done => {
                None
            }
        })
    }

    /// Makes blocked tasks wait for free capacity once the steps that they follow are done.
    pub(crate) fn unblock(&mut self) {
        let steps = &self.submission.steps;
        let mut done = vec![true; steps.len()];
        for task in self.tasks.iter().filter(|it| it.state != TaskState::Done) {
            done[usize::from(task.step)] = false;
        }
        for task in &mut self.tasks {
            let after = &steps[usize::from(task.step)].after;
            if task.state == TaskState::Blocked && after.iter().all(|step| done[*step]) {
                task.state = TaskState::Waiting;
            }
        }
    }

    /// Work of the tasks that wait for any free capacity, in thousandths of a core times ms.
    pub(crate) fn waiting_work(&self, estimates: &Estimates) -> u64 {
        self.work_of(estimates, Task::waits_for_any_room)
    }

    /// Capacity that the tasks which wait for any need, in thousandths of a core.
    pub(crate) fn waiting_cpu(&self) -> u64 {
        let waiting = self.tasks.iter().filter(|it| it.waits_for_any_room());
        waiting.map(|it| u64::from(self.submission.steps[usize::from(it.step)].cpu)).sum()
    }

    /// Work of all tasks, in thousandths of a core times ms.
    pub(crate) fn total_work(&self, estimates: &Estimates) -> u64 {
        self.work_of(estimates, |_| true)
    }

    fn work_of(&self, estimates: &Estimates, counts: impl Fn(&Task) -> bool) -> u64 {
        let route = &self.submission.route.name;
        let work = |it: &Task| {
            let step = &self.submission.steps[usize::from(it.step)];
            u64::from(step.cpu) * u64::from(estimates.expected(route, step.declared))
        };
        let work = self.tasks.iter().filter(|it| counts(it)).map(work);
        work.fold(0, u64::saturating_add).min(MAX_WORK)
    }
}

/// Sum of amounts of work, which callers may declare as high as they like.
pub(crate) fn sum(work: impl Iterator<Item = u64>) -> u64 {
    work.fold(0, u64::saturating_add)
}

/// Length of the critical path through the steps, with `length` as that of one step.
fn critical_path(steps: &[Step], length: impl Fn(&Step) -> u64) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let start = step.after.iter().filter_map(|it| ends.get(*it)).max().copied().unwrap_or(0);
        ends.push(start.saturating_add(length(step)));
    }
    ends.into_iter().max().unwrap_or(0)
}
