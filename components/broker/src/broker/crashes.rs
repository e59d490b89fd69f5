//! Tasks on whose endpoints a crash was reported: which run apart, wait, or are given up.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddrV4,
};

use mesh::{Crashes, CrashesSeen, Datagram, Health, JobId, RunKey, Uptime};

use super::{Broker, Effect, Reply, placement::Assignment};
use crate::{
    agents::Agent,
    crashes::{Evidence, Verdict},
    job::{Job, Step, TaskState},
    limits::APART_DIVISOR,
    queue::JobKey,
};

/// Percentage points by which an endpoint away from the rack of a task's data counts as more used.
const REMOTE_PENALTY_PERCENT: u64 = 50;

/// A verdict that has changed for tasks of one job.
#[derive(Debug, Clone, Copy)]
struct Change {
    verdict: Verdict,
    /// What counts against the first of them.
    evidence: Evidence,
    tasks: usize,
}

impl Broker {
    pub(super) fn on_crashes(&mut self, now: Uptime, from: SocketAddrV4, crashes: Crashes) {
        if !self.agents.contains_key(&from) {
            log::warn!(from:% = from; "a report of crashes is ignored; its sender is not a known agent");
            return;
        }
        let Crashes { incarnation, session, revision, .. } = crashes;
        let seen = CrashesSeen { incarnation, session, revision };
        self.effects.push(Effect::Send { to: from, datagram: Datagram::CrashesSeen(seen) });
        let concerned = self.ledger.merge(now, from, crashes);
        self.judge(now, concerned);
    }

    /// Applies what the expiry of crashes changes.
    pub(super) fn expire_crashes(&mut self, now: Uptime) {
        let concerned = self.ledger.expire(now);
        self.judge(now, concerned);
    }

    /// Answers a job that is known to crash its endpoints; returns whether it is.
    pub(super) fn reject_culprit(&mut self, job: JobId, request: &str, number: u64) -> bool {
        let Some((task, evidence)) = self.ledger.culprit(job) else { return false };
        log::warn!(
            job:% = job, request = request, step = task.step, index = task.index,
            crashes = evidence.confirmed, alone = evidence.alone, repeats = evidence.repeats;
            "a job is not taken: endpoints crash under it"
        );
        self.effects.push(Effect::Answer { request_number: number, reply: Reply::Failed });
        true
    }

    /// Judges the tasks of jobs by the crashes that count against them, and gives up the culprits.
    pub(super) fn judge(&mut self, now: Uptime, jobs: impl IntoIterator<Item = JobId>) {
        for id in jobs {
            let Some(key) = self.by_id.get(&id).copied() else { continue };
            self.placement_due = true;
            if let Some((task, evidence)) = self.ledger.culprit(id) {
                self.verdict_counts.culprits += 1;
                log::warn!(
                    job:% = id, step = task.step, index = task.index,
                    crashes = evidence.confirmed, alone = evidence.alone, repeats = evidence.repeats;
                    "a job is given up: endpoints crash under it"
                );
                self.answer(now, key, Reply::Failed);
                continue;
            }
            let Some(job) = self.jobs.get_mut(key) else { continue };
            let mut changes: Vec<Change> = Vec::new();
            for task in &mut job.tasks {
                let evidence = self.ledger.evidence(id, task.step, task.index);
                let verdict = evidence.verdict();
                let before = std::mem::replace(&mut task.verdict, verdict);
                if task.state == TaskState::Done || verdict == before {
                    continue;
                }
                self.verdict_counts.record(verdict);
                match changes.iter_mut().find(|it| it.verdict == verdict) {
                    Some(change) => change.tasks += 1,
                    None => changes.push(Change { verdict, evidence, tasks: 1 }),
                }
            }
            changes.iter().for_each(|it| log_change(id, it));
        }
    }

    /// Orders the tasks that must run apart, those of one job at one endpoint.
    ///
    /// Each takes the whole capacity of the endpoint, so that they run there one after the other and
    /// nothing runs beside them.
    pub(super) fn place_apart(&mut self, now: Uptime) {
        if self.ledger.is_empty() {
            return;
        }
        let mut busy: HashSet<SocketAddrV4> =
            self.jobs.values().flat_map(Job::placed_apart).collect();
        let waiting: Vec<JobKey> = self.queue.iter().collect();
        for key in waiting {
            let Some(job) = self.jobs.get(key) else { continue };
            if !job.tasks.iter().any(|it| it.waits_apart()) || job.placed_apart().next().is_some() {
                continue;
            }
            let Some(agent) = self.choose_apart(now, job, &busy) else { continue };
            busy.insert(agent);
            for assignment in self.assign_apart(key, agent) {
                self.send_order(assignment);
            }
            let job = &self.jobs[key];
            log::warn!(
                job:% = job.submission.job, request = job.submission.request.as_str(),
                agent:% = agent, tasks = job.placed_apart().count();
                "tasks that must run apart are placed"
            );
            if !job.is_waiting() {
                self.queue.remove(job.rank, key);
            }
        }
    }

    /// The least used endpoint that can run the tasks of a job that must run apart.
    ///
    /// Room is lost while an endpoint runs empty, so that only a part of the endpoints may be used
    /// for this at a time.
    fn choose_apart(
        &self,
        now: Uptime,
        job: &Job,
        busy: &HashSet<SocketAddrV4>,
    ) -> Option<SocketAddrV4> {
        let service = &job.submission.route.service;
        let serving: Vec<_> = self.agents.iter().filter(|it| it.1.serves(now, service)).collect();
        if busy.len() >= (serving.len() / APART_DIVISOR).max(1) {
            return None;
        }
        let tasks: Vec<_> = job.tasks.iter().filter(|it| it.waits_apart()).collect();
        let steps: Vec<&Step> = job.submission.steps.iter().collect();
        let is_eligible = |address: &SocketAddrV4, agent: &Agent| {
            agent.report.health == Health::Open
                && !busy.contains(address)
                && agent.report.endpoint.as_ref().is_some_and(|info| {
                    tasks.iter().all(|it| {
                        steps[usize::from(it.step)].can_run_on(info)
                            && !it.excluded.contains(address)
                    })
                })
        };
        let usage = |agent: &Agent| {
            let info = agent.report.endpoint.as_ref()?;
            let used = info.cpu.saturating_sub(agent.free_capacity().cpu);
            let is_remote = tasks.iter().any(|it| steps[usize::from(it.step)].is_remote_at(info));
            let penalty = if is_remote { REMOTE_PENALTY_PERCENT } else { 0 };
            Some(u64::from(used) * 100 / u64::from(info.cpu.max(1)) + penalty)
        };
        // A crash says less about a task if the endpoint may have crashed anyway, and least if it has
        // crashed under the job before.
        let cost = |it: &(&SocketAddrV4, &Agent)| {
            let has_crashed = self.ledger.has_crashed_under(*it.0, job.submission.job);
            (has_crashed, self.ledger.is_unsteady(*it.0), usage(it.1))
        };
        let eligible = serving.iter().filter(|(address, agent)| is_eligible(address, agent));
        eligible.min_by_key(|it| cost(it)).map(|(address, _)| **address)
    }

    /// Assigns the tasks of a job that must run apart to an agent.
    fn assign_apart(&mut self, key: JobKey, agent: SocketAddrV4) -> Vec<Assignment> {
        let mut runs: BTreeMap<u16, Vec<RunKey>> = BTreeMap::new();
        let Some(job) = self.jobs.get_mut(key) else { return Vec::new() };
        for task in job.tasks.iter_mut().filter(|it| it.waits_apart()) {
            let run = task.place(job.submission.job, agent);
            task.runs_apart = true;
            runs.entry(task.step).or_default().push(run);
        }
        let assignment =
            |(step, runs)| Assignment { agent, job: key, step, runs, takes_endpoint: true };
        runs.into_iter().map(assignment).collect()
    }

    /// Jobs of which a task is held or must run apart.
    pub fn suspect_jobs(&self) -> usize {
        if self.ledger.is_empty() {
            return 0;
        }
        let is_suspect = |job: &Job| job.tasks.iter().any(|it| it.verdict != Verdict::Clear);
        self.jobs.values().filter(|it| is_suspect(it)).count()
    }
}

/// Logs a changed verdict in one line for all tasks of the job that it concerns.
fn log_change(job: JobId, change: &Change) {
    let Change { verdict, evidence, tasks } = *change;
    let text = match verdict {
        Verdict::Clear => "no crash counts against tasks any more",
        Verdict::Apart => "tasks must run apart, as endpoints have crashed under them",
        Verdict::Held => "tasks wait until it is known whether their endpoints have crashed",
        Verdict::Culprit => "endpoints crash under tasks",
    };
    log::warn!(
        job:% = job, tasks = tasks, confirmed = evidence.confirmed,
        suspected = evidence.suspected, alone = evidence.alone;
        "{text}"
    );
}
