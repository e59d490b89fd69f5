//! Decides what becomes of a job with a task whose run was stopped, as its endpoint leaves.

use mesh::Uptime;

use crate::{estimate::Estimates, job::Job};

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

/// Chooses for a task of `step`, on the assumption that it starts again at once.
///
/// The wait for room is left out, as room that becomes free may go to this task first. The choice is
/// therefore repeated while the task waits.
pub(crate) fn choose(now: Uptime, job: &Job, step: usize, estimates: &Estimates) -> Choice {
    let path = remaining_path(job, step, estimates);
    let (end, objective) = (now + path, job.arrived + job.objective);
    if end <= objective {
        Choice::InTime { latest_start: objective - path }
    } else if end <= job.useful_until() {
        Choice::Late
    } else {
        Choice::Answer
    }
}

/// Expected time from the start of a task of `step` to the end of the last step that follows it, in
/// ms.
fn remaining_path(job: &Job, step: usize, estimates: &Estimates) -> u64 {
    let steps = &job.submission.steps;
    let mut ends: Vec<Option<u64>> = vec![None; steps.len()];
    for (position, it) in steps.iter().enumerate().skip(step) {
        let before = it.after.iter().filter_map(|it| *ends.get(*it)?).max();
        if position == step || before.is_some() {
            let length = estimates.expected(&job.submission.route.name, it.declared);
            ends[position] = Some(before.unwrap_or(0) + u64::from(length));
        }
    }
    ends.into_iter().flatten().max().unwrap_or(0)
}
