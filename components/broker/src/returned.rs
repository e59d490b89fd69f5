//! Decides what becomes of a job with a task whose run was stopped, as its endpoint leaves.

use mesh::Uptime;

use crate::{
    estimate::Estimates,
    job::{Job, Submission},
};

/// What becomes of a job with a returned task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// The task runs again, and the job can meet its objective if it starts by `latest_start`.
    InTime { latest_start: Uptime },
    /// The task runs again, and the answer can be late but of use.
    Late,
    /// The job is answered, since no run could end while the answer is of use.
    Answer,
}

/// Chooses for a task with this path to the end of its job, on the assumption that it starts again
/// at once.
///
/// The wait for room is left out, as room that becomes free may go to this task first. The choice is
/// therefore repeated while the task waits.
pub(crate) fn choose(now: Uptime, job: &Job, path: u64) -> Choice {
    let (end, objective) = (now + path, job.arrived + job.objective);
    if end <= objective {
        Choice::InTime { latest_start: objective - path }
    } else if end <= job.useful_until() {
        Choice::Late
    } else {
        Choice::Answer
    }
}

/// Expected times from the start of a task of each step to the end of the last step that follows it,
/// in ms.
pub(crate) fn remaining_paths(job: &Job, estimates: &Estimates) -> Vec<u64> {
    let Submission { route, steps, .. } = &job.submission;
    let mut paths = vec![0; steps.len()];
    // A step follows only earlier ones, so that the paths behind it are complete.
    for (position, step) in steps.iter().enumerate().rev() {
        let length = u64::from(estimates.expected(&route.name, step.declared));
        paths[position] = length.saturating_add(paths[position]);
        for before in &step.after {
            paths[*before] = paths[*before].max(paths[position]);
        }
    }
    paths
}
