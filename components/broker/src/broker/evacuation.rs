//! Evacuation of availability zones.

use std::collections::BTreeSet;

use mesh::Uptime;

use super::Broker;
use crate::{
    agents::{is_evacuated_from, may_run},
    job::Submission,
    queue::JobKey,
};

impl Broker {
    /// Applies the set of evacuated zones, and refuses waiting jobs that no other zone can serve.
    pub(super) fn on_evacuated(&mut self, now: Uptime, zones: BTreeSet<String>) {
        self.evacuated_zones = zones;
        for agent in self.agents.values_mut() {
            let evacuated = self.evacuated_zones.contains(&agent.zone);
            if agent.evacuated && !evacuated {
                agent.next_probe = now;
            }
            agent.evacuated = evacuated;
        }
        self.choose_watched(now);
        self.placement_due = true;
        let waiting: Vec<_> = self.queue.iter().collect();
        for key in waiting {
            self.refuse_if_evacuated(now, key);
        }
    }

    /// Refuses a job that has not run, if only evacuated zones could serve it.
    pub(super) fn refuse_if_evacuated(&mut self, now: Uptime, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.cannot_have_run() && self.is_evacuated(now, &job.submission) {
            self.give_up(now, key, "its zones are evacuated");
        }
    }

    /// Whether endpoints of a job's service are in evacuated zones and no others can run it.
    pub(super) fn is_evacuated(&self, now: Uptime, submission: &Submission) -> bool {
        let service = &submission.route.service;
        if self.evacuated_zones.is_empty() || !is_evacuated_from(&self.agents, service) {
            return false;
        }
        // Shortly after the start, agents of other zones may not have been heard yet.
        let may_appear =
            now < self.settles_at && self.agents.values().any(|it| it.unreachable && !it.evacuated);
        let mut steps = submission.steps.iter();
        !may_appear && !steps.all(|step| may_run(&self.agents, service, step))
    }
}
