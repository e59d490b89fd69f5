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
    candidates::{Candidates, Choice, OwnUse, Placing},
    crashes::Verdict,
    estimate::Estimates,
    job::{Job, Submission, TaskState},
    limits::{APART_WAIT_MS, WAIT_NOTICE_AGENTS, WAIT_NOTICE_INTERVAL_MS},
    queue::JobKey,
};

impl Broker {
    /// Places waiting tasks, job by job in the order of the queue.
    ///
    /// If not all waiting tasks of a job can be placed, later jobs of its service wait behind it:
    /// there is no backfilling. Tasks that wait only for the rack of their data hold up no
    /// other job.
    pub(super) fn place(&mut self, now: Uptime) {
        if !std::mem::take(&mut self.placement_due) || self.queue.is_empty() {
            return;
        }
        let own_use = self.own_use();
        let mut candidates: HashMap<String, Candidates<'_>> = HashMap::new();
        let mut blocked_services: HashSet<String> = HashSet::new();
        self.rack_awaited = false;
        let mut placed = Vec::new();
        let mut assignments = Vec::new();
        for key in self.queue.iter() {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            let route = Arc::clone(&job.submission.route);
            if blocked_services.contains(&route.service) {
                continue;
            }
            let candidates = candidates.entry(route.service.clone()).or_insert_with(|| {
                Candidates::new(
                    &self.agents,
                    now,
                    &route.service,
                    &self.options.zone,
                    &self.locality,
                )
            });
            let context = Context { now, estimates: &self.estimates, own_use: &own_use };
            let (outcome, mut assigned) = place_job(job, key, candidates, &context, &mut self.rng);
            if !assigned.is_empty() {
                log_placed(now, job, &assigned, &self.agents);
            }
            assignments.append(&mut assigned);
            match outcome {
                Outcome::Complete => placed.push((job.rank, key)),
                Outcome::WaitsForRack => self.rack_awaited = true,
                Outcome::Suspect => {
                    self.rack_awaited |= job.tasks.iter().any(|it| it.waits_for_rack.is_some());
                }
                Outcome::NoRoom => {
                    blocked_services.insert(route.service.clone());
                }
            }
        }
        self.room_awaited = !blocked_services.is_empty();
        for (rank, key) in placed {
            self.queue.remove(rank, key);
        }
        for assignment in assignments {
            self.send_order(assignment);
        }
        self.place_apart(now);
        if self.room_awaited {
            self.seek_capacity(now);
        }
    }

    /// Capacity that runs of this entry use; empty while no task waits that names a rack, or if the
    /// settings do not give what it loses elsewhere.
    fn own_use(&self) -> OwnUse {
        let mut own_use = OwnUse::new();
        let mut waiting = self.queue.iter().filter_map(|key| self.jobs.get(key));
        let names_rack = |job: &Job| job.submission.steps.iter().any(|it| it.rack.is_some());
        if !self.locality.is_active() || !waiting.any(names_rack) {
            return own_use;
        }
        for job in self.jobs.values() {
            let Submission { route, steps, .. } = &job.submission;
            for (agent, run) in job.placed() {
                let step = &steps[usize::from(run.step)];
                let Some(report) = self.agents.get(&agent).map(|it| &it.report) else { continue };
                let remote = report.endpoint.as_ref();
                let remote = remote.map_or(100, |it| self.locality.run_percent(step, it));
                let expected = u64::from(self.estimates.expected(&route.name, step.declared));
                let slowed = expected * u64::from(report.slowness.max(1));
                let run_time = slowed.saturating_mul(remote) / 10_000;
                let used = own_use.entry(agent).or_default();
                used.cpu += f64::from(step.cpu);
                used.release_rate += f64::from(step.cpu) / run_time.max(1) as f64;
            }
        }
        own_use
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
    pub(super) fn send_order(&mut self, assignment: Assignment) {
        let Assignment { agent: address, job, step, runs, takes_endpoint } = assignment;
        let (Some(agent), Some(job)) = (self.agents.get_mut(&address), self.jobs.get(job)) else {
            return;
        };
        self.order_counts.ordered += runs.len() as u64;
        let route = &job.submission.route;
        let step = &job.submission.steps[usize::from(step)];
        let expected = self.estimates.expected(&route.name, step.declared);
        let run_percent = agent.report.endpoint.as_ref();
        let run_percent = run_percent.map_or(100, |it| self.locality.run_percent(step, it));
        // The agent compares the run with this time to judge whether its endpoint is slow.
        let expected = u64::from(expected) * run_percent / 100;
        let (mut cpu, mut memory, mut max_wait) =
            (step.cpu, step.memory, self.options.policy.agent_wait);
        if let Some(info) = agent.report.endpoint.as_ref().filter(|_| takes_endpoint) {
            (cpu, memory, max_wait) = (info.cpu.max(cpu), info.memory.max(memory), APART_WAIT_MS);
        }
        agent.channel.push(Command::Start(StartOrder {
            runs,
            spec: job.submission.spec.clone(),
            cpu,
            memory,
            gpus: step.gpus,
            expected: u32::try_from(expected).unwrap_or(u32::MAX),
            max_wait,
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
pub(super) struct Assignment {
    pub(super) agent: SocketAddrV4,
    pub(super) job: JobKey,
    pub(super) step: u16,
    pub(super) runs: Vec<RunKey>,
    /// Whether each run takes the whole endpoint.
    pub(super) takes_endpoint: bool,
}

/// What the placement of a job's tasks depends on, besides the candidates.
struct Context<'a> {
    now: Uptime,
    estimates: &'a Estimates,
    own_use: &'a OwnUse,
}

/// Outcome of the placement of a job's waiting tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// All were placed.
    Complete,
    /// All were placed but for those that wait for the rack of their data.
    WaitsForRack,
    /// All were placed but for those that are suspect, and those that wait for a rack.
    Suspect,
    /// Some found no room.
    NoRoom,
}

/// Places the tasks of a job for which there is free capacity.
fn place_job(
    job: &mut Job,
    key: JobKey,
    candidates: &mut Candidates<'_>,
    context: &Context<'_>,
    rng: &mut SmallRng,
) -> (Outcome, Vec<Assignment>) {
    let mut runs_at: BTreeMap<(SocketAddrV4, u16), Vec<RunKey>> = BTreeMap::new();
    let mut outcome = Outcome::Complete;
    let mut spread = Spread::default();
    let now = context.now;
    for position in 0..job.tasks.len() {
        let task = &job.tasks[position];
        if task.state != TaskState::Waiting {
            continue;
        }
        if task.verdict != Verdict::Clear {
            if outcome != Outcome::NoRoom {
                outcome = Outcome::Suspect;
            }
            continue;
        }
        let step = &job.submission.steps[usize::from(task.step)];
        let full_agents = spread.full_agents(job, task.step, step.per_endpoint);
        let expected = context.estimates.expected(&job.submission.route.name, step.declared);
        let placing = Placing { step, task, expected, own_use: context.own_use };
        let choice = candidates.reserve(now, &placing, full_agents, rng);
        let task = &mut job.tasks[position];
        let agent = match choice {
            Choice::Endpoint(agent) => agent,
            Choice::WaitForRack => {
                if task.waits_for_rack.is_none() {
                    task.waits_for_rack = Some(now);
                    log::info!(
                        job:% = job.submission.job, step = task.step, index = task.index,
                        rack = step.rack.as_deref().unwrap_or_default(), expected_ms = expected;
                        "a task waits for the rack of its data"
                    );
                }
                if outcome == Outcome::Complete {
                    outcome = Outcome::WaitsForRack;
                }
                continue;
            }
            Choice::NoRoom => {
                task.waits_for_rack = None;
                outcome = Outcome::NoRoom;
                // Tasks of a step have the same requirements, so if one without exclusions fits
                // nowhere, the others don't either. Exclusions differ from task to task.
                if task.excluded.is_empty() { break } else { continue }
            }
        };
        let run = task.place(job.submission.job, agent);
        task.runs_apart = false;
        spread.record(agent);
        runs_at.entry((agent, task.step)).or_default().push(run);
    }
    let assignment =
        |((agent, step), runs)| Assignment { agent, job: key, step, runs, takes_endpoint: false };
    (outcome, runs_at.into_iter().map(assignment).collect())
}

/// Agents that have as many tasks of a step as one endpoint may run, kept for the newest step while
/// the tasks of a job are placed one after the other.
#[derive(Default)]
struct Spread {
    step: Option<u16>,
    most: u16,
    counts: HashMap<SocketAddrV4, u16>,
    full: Vec<SocketAddrV4>,
}

impl Spread {
    /// Agents that may get no more tasks of `step`, of which one endpoint may run `most`.
    fn full_agents(&mut self, job: &Job, step: u16, most: Option<u16>) -> &[SocketAddrV4] {
        if self.step != Some(step) {
            *self =
                Spread { step: Some(step), most: most.unwrap_or(u16::MAX), ..Spread::default() };
            if most.is_some() {
                let placed = job.placed().filter(|(_, run)| run.step == step);
                placed.for_each(|(agent, _)| self.record(agent));
            }
        }
        &self.full
    }

    /// Counts a task of the step that was placed.
    fn record(&mut self, agent: SocketAddrV4) {
        let count = self.counts.entry(agent).or_default();
        *count = count.saturating_add(1);
        if *count == self.most {
            self.full.push(agent);
        }
    }
}
