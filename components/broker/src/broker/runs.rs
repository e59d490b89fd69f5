//! Runs of tasks at agents: reports, notices, unreachable agents and probes.

use std::{collections::HashSet, net::SocketAddrV4};

use mesh::{Datagram, End, EntryState, Frame, Notice, Report, RunKey, Uptime};

use super::{Broker, Effect, Reply};
use crate::{
    agents::Agent,
    job::{Job, TaskState},
    limits::{
        AGENT_RETENTION_MS, BACKGROUND_PROBE_SPACING_MS, IDLE_PROBE_MS, MAX_BACKGROUND_PROBE_MS,
        MIN_BACKGROUND_PROBE_MS, PROBE_MS, RESTART_EXPIRY_MS, UNREACHABLE_PROBE_MS,
    },
    queue::JobKey,
    watch::weight,
};

impl Broker {
    pub(super) fn on_announced(&mut self, now: Uptime, address: SocketAddrV4, zone: String) {
        let agent = self.agents.entry(address).or_insert_with(|| {
            // An agent that this entry has forgotten may still have its end of the channel. The
            // new incarnation makes it start over.
            self.channels_created += 1;
            let incarnation = self.options.incarnation.wrapping_add(self.channels_created);
            Agent::new(incarnation, now, zone, weight(self.options.incarnation, address))
        });
        agent.evacuated = self.evacuated_zones.contains(&agent.zone);
        agent.last_announced = now;
        if agent.unreachable {
            agent.next_probe = now;
        }
    }

    pub(super) fn on_frame(
        &mut self,
        now: Uptime,
        from: SocketAddrV4,
        frame: Frame<Notice, Report>,
    ) {
        let Some(agent) = self.agents.get_mut(&from) else { return };
        let report = frame.state.clone();
        let acknowledged = frame.acknowledged;
        let accepted = agent.channel.accept(now, frame);
        if accepted.restarted {
            log::warn!(agent:% = from; "an agent restarted; its runs are lost");
            self.mark_lost(now, from, now + RESTART_EXPIRY_MS);
        }
        if !accepted.current {
            return;
        }
        let Some(agent) = self.agents.get_mut(&from) else { return };
        if agent.unreachable {
            log::info!(agent:% = from; "an agent is heard");
            agent.unreachable = false;
            agent.next_probe = agent.next_probe.min(now + PROBE_MS);
        }
        // A datagram that was overtaken shows room that has been ordered since.
        let is_newest = accepted.restarted
            || (report.now, acknowledged) >= (agent.report.now, agent.acknowledged);
        if is_newest && agent.report.health != report.health {
            log::info!(
                agent:% = from, before:? = agent.report.health, health:? = report.health,
                slowness = report.slowness;
                "an endpoint's health has changed"
            );
        }
        agent.last_heard = now;
        if is_newest {
            agent.has_offered |= report.cpu > 0;
            agent.report = report;
            agent.acknowledged = acknowledged;
        }
        self.placement_due = true;
        for notice in accepted.items {
            match notice {
                Notice::Refused { key, refusal } => {
                    log::info!(run:% = key, agent:% = from, refusal:? = refusal; "an agent refused a run");
                    self.order_counts.record_refusal(refusal);
                    self.on_refused(now, from, key);
                }
                Notice::Ended { key, end, took } => self.on_ended(now, from, key, end, took),
            }
        }
    }

    /// Job and position of the task whose current run is `key` at `agent`.
    pub(super) fn placed_task(&self, agent: SocketAddrV4, key: RunKey) -> Option<(JobKey, usize)> {
        let job_key = *self.by_id.get(&key.job)?;
        let job = self.jobs.get(job_key)?;
        let position = job.position(key)?;
        let placed = TaskState::Placed { agent, key };
        (job.tasks[position].state == placed).then_some((job_key, position))
    }

    /// Job and position of the task to which a notice on run `key` of `agent` applies.
    ///
    /// Besides the task's current run it may be one that was taken for lost while its agent was
    /// silent: the notice says that this run is over, so there is no need to wait until it must be.
    fn noticed_task(&self, agent: SocketAddrV4, key: RunKey) -> Option<(JobKey, usize)> {
        let placed = self.placed_task(agent, key);
        placed.or_else(|| {
            let job_key = *self.by_id.get(&key.job)?;
            let job = self.jobs.get(job_key)?;
            let position = job.position(key)?;
            let task = &job.tasks[position];
            // An agent may report a run of an earlier incarnation of this entry, which had the same
            // number.
            let is_lost = matches!(task.state, TaskState::Lost { agent: at, .. } if at == agent);
            (is_lost && task.last_run == key.run).then_some((job_key, position))
        })
    }

    pub(super) fn on_refused(&mut self, now: Uptime, agent: SocketAddrV4, key: RunKey) {
        if let Some((job, position)) = self.noticed_task(agent, key) {
            self.requeue(now, job, position);
            self.refuse_if_evacuated(now, job);
        }
    }

    pub(super) fn on_ended(
        &mut self,
        now: Uptime,
        agent: SocketAddrV4,
        key: RunKey,
        end: End,
        took: u32,
    ) {
        let Some((job_key, position)) = self.noticed_task(agent, key) else { return };
        let job = &mut self.jobs[job_key];
        job.maybe_ran = true;
        if let TaskState::Lost { expiry, .. } = job.tasks[position].state {
            log::info!(
                run:% = key, agent:% = agent, end:? = end, early_ms = expiry.since(now);
                "the end of a run that was taken for lost is known"
            );
        }
        let task = &mut job.tasks[position];
        if matches!(end, End::Stalled | End::Lost) {
            log::info!(run:% = key, agent:% = agent, end:? = end, took_ms = took; "a run is over and its task waits again");
        }
        match end {
            End::Done => {
                task.state = TaskState::Done;
                let step = &job.submission.steps[usize::from(key.step)];
                // Only the slowdown relative to the other endpoints is divided out. What all
                // endpoints have in common is an error of the declared run times.
                let report = self.agents.get(&agent).map(|it| &it.report);
                let slowdown = report.map_or(100, |it| u64::from(it.slowness.max(1)));
                let info = report.and_then(|it| it.endpoint.as_ref());
                let run_percent = info.map_or(100, |it| self.locality.run_percent(step, it));
                let local = u64::from(took) * 100 / run_percent;
                let normalized = local * self.mean_slowdown / slowdown;
                let normalized = u32::try_from(normalized).unwrap_or(u32::MAX);
                self.estimates.record(&job.submission.route.name, step.declared, normalized);
                if job.is_done() {
                    self.answer(now, job_key, Reply::Completed);
                } else if job.submission.steps.len() > 1 {
                    job.unblock();
                    if job.is_waiting() {
                        self.queue.insert(now, job.rank, job_key);
                        self.placement_due = true;
                    }
                }
            }
            End::Failed => {
                task.failures += 1;
                task.excluded.push(agent);
                let failed = task.failures;
                log::info!(run:% = key, agent:% = agent, failed = failed; "a run failed");
                if failed >= job.submission.route.attempts {
                    self.answer(now, job_key, Reply::Failed);
                } else {
                    self.requeue(now, job_key, position);
                }
            }
            End::Stalled => {
                task.excluded.push(agent);
                self.requeue(now, job_key, position);
            }
            End::Stopped => self.on_returned(now, job_key, position, agent, key),
            End::Lost => self.requeue(now, job_key, position),
        }
    }

    /// Returns a task to the queue for another run.
    pub(super) fn requeue(&mut self, now: Uptime, key: JobKey, position: usize) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.tasks[position].state = TaskState::Waiting;
        self.queue.insert(now, job.rank, key);
        self.placement_due = true;
    }

    /// Marks the runs of an agent as lost; by `expiry`, all of them have ended.
    ///
    /// The agent is also told to stop them, as a start order in flight may still start one.
    pub(super) fn mark_lost(&mut self, now: Uptime, address: SocketAddrV4, expiry: Uptime) {
        let mut unrecoverable = Vec::new();
        let mut keys = Vec::new();
        for (key, job) in &mut self.jobs {
            for task in &mut job.tasks {
                if let TaskState::Placed { agent, key: run } = task.state
                    && agent == address
                {
                    keys.push(run);
                    task.state = TaskState::Lost { agent, expiry };
                    job.maybe_ran = true;
                    if expiry >= job.deadline {
                        unrecoverable.push(key);
                    }
                }
            }
        }
        if let Some(agent) = self.agents.get_mut(&address)
            && !keys.is_empty()
        {
            agent.push_stops(&keys);
        }
        for key in unrecoverable {
            self.give_up(now, key, "agent lost");
        }
    }

    pub(super) fn check_agents(&mut self, now: Uptime) {
        let silent: Vec<_> = self
            .agents
            .iter_mut()
            .filter(|(_, agent)| !agent.unreachable && agent.is_silent(now))
            .map(|(address, agent)| {
                agent.unreachable = true;
                (*address, agent.last_heard)
            })
            .collect();
        for (address, heard) in silent {
            log::warn!(agent:% = address, silence_ms = now.since(heard); "an agent is silent; its runs are considered lost");
            self.mark_lost(now, address, heard + self.options.run_expiry);
        }
        self.agents
            .retain(|_, it| now.since(it.last_heard.max(it.last_announced)) < AGENT_RETENTION_MS);
    }

    /// Agents that have runs of this entry.
    fn busy_agents(&self) -> HashSet<SocketAddrV4> {
        self.jobs.values().flat_map(Job::placed).map(|it| it.0).collect()
    }

    /// Chooses the agents to watch: the subset by weight, and those with runs or commands.
    pub(super) fn choose_watched(&mut self, now: Uptime) {
        let size = self.watch.size();
        let background = self.agents.len().saturating_sub(size) as u64;
        self.background_probe = (background * BACKGROUND_PROBE_SPACING_MS)
            .clamp(MIN_BACKGROUND_PROBE_MS, MAX_BACKGROUND_PROBE_MS);
        if background == 0 && self.evacuated_zones.is_empty() {
            self.agents.values_mut().for_each(|it| it.watch(now));
            return;
        }
        let mut weights: Vec<_> =
            self.agents.values().filter(|it| it.is_watchable()).map(|it| it.weight).collect();
        weights.sort_unstable_by(|a, b| b.cmp(a));
        let least = weights.get(size.saturating_sub(1)).copied().unwrap_or(0);
        let busy = self.busy_agents();
        for (address, agent) in &mut self.agents {
            let in_subset = match background {
                0 => !agent.evacuated,
                _ => agent.is_watchable() && agent.weight >= least,
            };
            let has_commands = agent.channel.pending().next().is_some();
            if in_subset || has_commands || busy.contains(address) {
                agent.watch(now);
            } else {
                agent.unwatch(now, self.background_probe);
            }
        }
    }

    /// Sends a frame to each agent that is due a probe, commands or an acknowledgement.
    pub(super) fn send_frames(&mut self, now: Uptime) {
        // Agents keep free capacity for a moment for the entries whose jobs wait, which would be
        // of no use to tasks that wait for their rack only.
        let jobs_wait = self.room_awaited && !self.queue.is_empty();
        let is_due = |agent: &Agent| {
            let has_message = agent.channel.is_due(now) || agent.awaits_decline(jobs_wait);
            now >= agent.next_probe || !agent.unreachable && has_message
        };
        if !self.agents.values().any(is_due) {
            return;
        }
        let waiting = u32::try_from(self.waiting_work() / 1_000).unwrap_or(u32::MAX);
        let probes = self.agents.values().any(|agent| now >= agent.next_probe);
        let busy = if probes { self.busy_agents() } else { HashSet::new() };
        let background_probe = self.background_probe;
        for (address, agent) in self.agents.iter_mut().filter(|(_, agent)| is_due(agent)) {
            // The report that answers an order is fresher than that of a later probe.
            let is_watched = agent.watched_since.is_some() && !agent.unreachable;
            let has_commands = agent.channel.pending().next().is_some();
            let probe = now >= agent.next_probe || is_watched && has_commands;
            if probe {
                agent.next_probe = now
                    + match agent.watched_since {
                        Some(_) => probe_interval(agent.unreachable, busy.contains(address)),
                        None => background_probe,
                    };
            }
            agent.told_waiting = jobs_wait;
            agent.has_offered = false;
            let state = EntryState { probe, waiting, heard: agent.report.now };
            let frame = agent.channel.frame(now, state);
            self.effects.push(Effect::Send { to: *address, datagram: Datagram::Entry(frame) });
        }
    }
}

/// Time until the next probe of an agent, in ms.
fn probe_interval(unreachable: bool, busy: bool) -> u64 {
    match (unreachable, busy) {
        (true, _) => UNREACHABLE_PROBE_MS,
        (false, true) => PROBE_MS,
        (false, false) => IDLE_PROBE_MS,
    }
}
