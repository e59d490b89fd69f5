//! Tasks whose runs were stopped by their agent.

use std::net::SocketAddrV4;

use mesh::{RunKey, Uptime};

use super::Broker;
use crate::{
    job::TaskState,
    policy::QueueOrder,
    queue::JobKey,
    returned::{Choice, choose, remaining_paths},
};

/// Reason for which a job with a returned task is given up.
const HOPELESS: &str = "a returned task cannot end in time";

impl Broker {
    /// Runs a returned task again, or answers its job if no run could end in time.
    pub(super) fn on_returned(
        &mut self,
        now: Uptime,
        job_key: JobKey,
        position: usize,
        agent: SocketAddrV4,
        run: RunKey,
    ) {
        let Some(job) = self.jobs.get_mut(job_key) else { return };
        job.has_returned = true;
        let paths = remaining_paths(job, &self.estimates);
        let choice = choose(now, job, paths[usize::from(run.step)]);
        log::info!(
            run:% = run, agent:% = agent, choice:? = choice,
            objective_in_ms = (job.arrived + job.objective).since(now),
            useful_for_ms = job.useful_until().since(now);
            "an agent has stopped a run"
        );
        match choice {
            Choice::InTime { latest_start } => {
                // While its tasks ran, the job was not ranked. It is not late because they started
                // before the latest start that was left then.
                if !job.is_waiting() && self.options.policy.order == QueueOrder::LatestStart {
                    job.rank = latest_start;
                }
                self.requeue(now, job_key, position);
            }
            Choice::Late => self.requeue(now, job_key, position),
            Choice::Answer => self.give_up(now, job_key, HOPELESS),
        }
    }

    /// Answers jobs with returned tasks that wait for room and could no longer end in time.
    pub(super) fn check_returned(&mut self, now: Uptime) {
        let mut hopeless = Vec::new();
        for (key, job) in self.jobs.iter().filter(|(_, job)| job.has_returned) {
            let paths = remaining_paths(job, &self.estimates);
            let waiting = job.tasks.iter().filter(|it| it.state == TaskState::Waiting);
            let longest = waiting.map(|it| paths[usize::from(it.step)]).max();
            if longest.is_some_and(|path| choose(now, job, path) == Choice::Answer) {
                hopeless.push(key);
            }
        }
        for key in hopeless {
            self.give_up(now, key, HOPELESS);
        }
    }
}
