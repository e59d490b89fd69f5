//! Placement of waiting tasks on endpoints.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt::Write,
    net::SocketAddrV4,
    sync::Arc,
};

use mesh::{Command, Report, RunKey, StartOrder, Uptime};
use rand::{rngs::SmallRng, seq::IteratorRandom};

use super::Broker;
use crate::{
    agents::Agents,
    candidates::Candidates,
    job::{Job, TaskState},
    limits::{WAIT_NOTICE_AGENTS, WAIT_NOTICE_INTERVAL_MS},
    queue::JobKey,
};

impl Broker {
    /// Places waiting tasks, job by job in the order of the queue.
    ///
    /// If not all waiting tasks of a job can be placed, later jobs of its service wait behind it:
    /// there is no backfilling.
    pub(super) fn place(&mut self, now: Uptime) {
        if !std::mem::take(&mut self.placement_due) || self.queue.is_empty() {
            return;
        }
        let mut candidates: HashMap<String, Candidates<'_>> = HashMap::new();
        let mut blocked_services: HashSet<String> = HashSet::new();
        let mut placed = Vec::new();
        let mut assignments = Vec::new();
        for key in self.queue.iter() {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            let route = Arc::clone(&job.submission.route);
            if blocked_services.contains(&route.service) {
                continue;
            }
            let candidates = candidates.entry(route.service.clone()).or_insert_with(|| {
                Candidates::new(&self.agents, now, &route.service, &self.options.zone)
            });
            let (complete, mut assigned) = place_job(job, key, candidates, &mut self.rng);
            if !assigned.is_empty() {
                log_placed(now, job, &assigned, &self.agents);
            }
            assignments.append(&mut assigned);
            if complete {
                placed.push((job.rank, key));
            } else {
                blocked_services.insert(route.service.clone());
            }
        }
        for (rank, key) in placed {
            self.queue.remove(rank, key);
        }
        for assignment in assignments {
            self.send_order(assignment);
        }
        if !self.queue.is_empty() {
            self.seek_capacity(now);
        }
    }

    /// Widens the subset of watched agents, and tells some of them that jobs wait.
    ///
    /// Agents offer free capacity to the entries whose jobs wait. A job would otherwise get no
    /// offers until the next regular probes.
    fn seek_capacity(&mut self, now: Uptime) {
        if self.watch.widen(now) {
            log::info!(waiting = self.queue.len(), known = self.agents.len(); "a job waits, so more agents are watched");
            self.choose_watched(now);
        }
        if now < self.next_wait_notice {
            return;
        }
        self.next_wait_notice = now + WAIT_NOTICE_INTERVAL_MS;
        let untold = self
            .agents
            .values_mut()
            .filter(|it| it.watched_since.is_some() && !it.unreachable && !it.told_waiting);
        for agent in untold.sample(&mut self.rng, WAIT_NOTICE_AGENTS) {
            agent.next_probe = now;
        }
    }

    /// Queues a start order for an agent.
    fn send_order(&mut self, assignment: Assignment) {
        let Assignment { agent: address, job, step, runs } = assignment;
        let (Some(agent), Some(job)) = (self.agents.get_mut(&address), self.jobs.get(job)) else {
            return;
        };
        let route = &job.submission.route;
        let step = &job.submission.steps[usize::from(step)];
        agent.channel.push(Command::Start(StartOrder {
            runs,
            spec: job.submission.spec.clone(),
            cpu: step.cpu,
            memory: step.memory,
            gpus: step.gpus,
            expected: self.estimates.expected(&route.name, step.declared),
            max_wait: self.options.policy.agent_wait,
            decided: agent.report.now,
        }));
    }
}

/// Logs where the tasks of a job are placed and the reports behind that choice, in one line.
fn log_placed(now: Uptime, job: &Job, assignments: &[Assignment], agents: &Agents) {
    let tasks: usize = assignments.iter().map(|it| it.runs.len()).sum();
    let mut places = String::new();
    let mut oldest = 0;
    for assignment in assignments {
        if let Some(agent) = agents.get(&assignment.agent) {
            let age = now.since(agent.last_heard);
            let Report { cpu, slowness, .. } = agent.report;
            let (count, address) = (assignment.runs.len(), assignment.agent);
            oldest = oldest.max(age);
            // Writing to a string never fails.
            let _ = write!(places, "{count}@{address} free {cpu} slowness {slowness}; ");
        }
    }
    log::info!(
        job:% = job.submission.job, request = job.submission.request.as_str(),
        route = job.submission.route.name.as_str(), tasks = tasks, places = places.as_str(),
        report_age_ms = oldest, slack_ms = job.latest_start.since(now);
        "tasks are placed"
    );
}

/// Tasks of a step that are assigned to an agent.
struct Assignment {
    agent: SocketAddrV4,
    job: JobKey,
    step: u16,
    runs: Vec<RunKey>,
}

/// Places the tasks of a job for which there is free capacity; returns whether all were placed.
fn place_job(
    job: &mut Job,
    key: JobKey,
    candidates: &mut Candidates<'_>,
    rng: &mut SmallRng,
) -> (bool, Vec<Assignment>) {
    let mut runs_at: BTreeMap<(SocketAddrV4, u16), Vec<RunKey>> = BTreeMap::new();
    let mut complete = true;
    for position in 0..job.tasks.len() {
        let task = &job.tasks[position];
        if task.state != TaskState::Waiting {
            continue;
        }
        let step = &job.submission.steps[usize::from(task.step)];
        let full_agents = full_agents(job, task.step, step.per_endpoint);
        let Some(agent) = candidates.reserve(step, task, &full_agents, rng) else {
            complete = false;
            // Tasks of a step have the same requirements, so if one without exclusions fits
            // nowhere, the others don't either. Exclusions differ from task to task.
            if task.excluded.is_empty() { break } else { continue }
        };
        let task = &mut job.tasks[position];
        task.last_run += 1;
        let run = RunKey {
            job: job.submission.job,
            step: task.step,
            index: task.index,
            run: task.last_run,
        };
        task.state = TaskState::Placed { agent, key: run };
        runs_at.entry((agent, task.step)).or_default().push(run);
    }
    let assignment = |((agent, step), runs)| Assignment { agent, job: key, step, runs };
    (complete, runs_at.into_iter().map(assignment).collect())
}

/// Agents that already have as many tasks of a step as one endpoint may run.
fn full_agents(job: &Job, step: u16, per_endpoint: Option<u16>) -> Vec<SocketAddrV4> {
    let Some(most) = per_endpoint else { return Vec::new() };
    let mut counts: HashMap<SocketAddrV4, u16> = HashMap::new();
    for task in job.tasks.iter().filter(|it| it.step == step) {
        if let TaskState::Placed { agent, .. } = task.state {
            *counts.entry(agent).or_default() += 1;
        }
    }
    counts.into_iter().filter(|(_, count)| *count >= most).map(|(agent, _)| agent).collect()
}
