//! Life cycle of a job: submission, admission, cancellation and answer.

use std::{collections::BTreeMap, net::SocketAddrV4};

use mesh::{JobId, RunKey, Uptime};

use super::{Answered, Broker, Effect, Reply};
use crate::{
    agents::{can_run, is_evacuated_from, total_capacity},
    backlog::Backlog,
    job::{Job, Submission, TaskState, sum},
    limits::{
        ANSWER_RETENTION_MS, DISCOVERY_TIMEOUT_MS, MIN_RETRY_AFTER_MS, SETTLE_MS,
        SHUTDOWN_RUN_FACTOR, SHUTDOWN_TIMEOUT_MS, SUSPENDED_MS,
    },
    queue::JobKey,
};

/// Times of a request of a caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestTimes {
    /// Time at which its end arrived at the host.
    pub(super) arrived: Uptime,
    /// Time at which it was read.
    pub(super) read: Uptime,
}

impl Broker {
    pub(super) fn on_submit(
        &mut self,
        now: Uptime,
        request_number: u64,
        times: RequestTimes,
        submission: Submission,
    ) -> Option<JobKey> {
        let RequestTimes { arrived, read } = times;
        let id = submission.job;
        if let Some(key) = self.by_id.get(&id).copied() {
            log::info!(job:% = id, request = submission.request.as_str(); "duplicate submission of a job in progress");
            self.jobs.get_mut(key)?.request_numbers.push(request_number);
            self.by_request.insert(request_number, key);
            return None;
        }
        let earlier = self.answered.get(&id).copied();
        if let Some(Answered { reply, .. }) = earlier
            && matches!(reply, Reply::Completed | Reply::Failed | Reply::Cancelled)
        {
            log::info!(job:% = id, request = submission.request.as_str(), reply:? = reply; "duplicate submission of an answered job");
            self.effects.push(Effect::Answer { request_number, reply });
            return None;
        }
        if self.reject_culprit(id, &submission.request, request_number) {
            return None;
        }
        let last_run = earlier.map_or(0, |it| it.last_run);
        let order = self.options.policy.order;
        let job = Job::new(arrived, submission, request_number, last_run, &self.estimates, order);
        if let Some(reason) = self.refusal_reason(now, read, &job) {
            let reply = Reply::Refused { retry_after: MIN_RETRY_AFTER_MS };
            log::info!(job:% = id, request = job.submission.request.as_str(), queued_ms = now.since(arrived); "a job is refused: {reason}");
            self.effects.push(Effect::Answer { request_number, reply });
            return None;
        }
        let (slack, work) = (job.latest_start.since(now), job.total_work(&self.estimates));
        self.shares.record_arrival(&job.submission.route.name, slack, work);
        for step in &job.submission.steps {
            let route = &job.submission.route;
            let run_time = self.estimates.expected(&route.name, step.declared);
            let work = u64::from(step.count) * u64::from(step.cpu);
            let work = work.saturating_mul(run_time.into());
            self.locality.record_arrival(now, &route.service, step, work);
        }
        let rank = job.rank;
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.by_request.insert(request_number, key);
        self.queue.insert(now, rank, key);
        self.placement_due = true;
        self.judge(now, [id]);
        Some(key)
    }

    /// Why a new job is refused whatever capacity is free; none if it is not.
    ///
    /// `read` is the time at which its request was read.
    fn refusal_reason(&self, now: Uptime, read: Uptime, job: &Job) -> Option<&'static str> {
        if let Some(resumed_at) = self.resumed_at
            && resumed_at.since(read) >= SUSPENDED_MS
        {
            // Its caller may have sent it to another entry since, like those of jobs in progress.
            return Some("the host was suspended after it was read");
        }
        if now >= job.deadline {
            return Some("its caller has stopped waiting");
        }
        let run_time = job.objective.saturating_sub(job.latest_start.since(job.arrived));
        let run_time = run_time.saturating_mul(SHUTDOWN_RUN_FACTOR);
        let since = self.shutdown_since?;
        let ends_late = run_time.saturating_add(now.since(since)) >= SHUTDOWN_TIMEOUT_MS;
        ends_late.then_some("the entry stops")
    }

    /// Admits a new job, or refuses it if it is predicted to start too late.
    pub(super) fn admit(&mut self, now: Uptime, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        let waits = job.waits_for_any_room();
        self.shares.record_wait(waits);
        if !waits || !job.cannot_have_run() {
            self.record_admission(now, key);
            return;
        }
        let service = job.submission.route.service.clone();
        let ahead = self.queue.ahead_of(job.rank).filter(|it| *it != key);
        let ahead = ahead.filter_map(|it| self.jobs.get(it));
        let ahead = ahead.filter(|it| it.submission.route.service == service);
        let work = sum(ahead.map(|it| it.waiting_work(&self.estimates)));
        let own_work = job.waiting_work(&self.estimates);
        let own = self.waiting_work().saturating_sub(own_work);
        let watched =
            self.agents.values().filter(|it| it.watched_since.is_some() && !it.unreachable);
        let other_entries =
            watched.map(|it| u64::from(it.report.waiting) * 1_000).max().unwrap_or(0);
        let heard = total_capacity(&self.agents, now, &service);
        let unheard = if now < self.settles_at { self.unheard_capacity(heard) } else { 0 };
        let startable = unheard.saturating_mul(own_work) / job.waiting_cpu().max(1);
        let capacity = heard + unheard;
        let backlog = Backlog { ahead: work, own, other_entries, startable, capacity };
        let evacuated = self.is_evacuated(now, &job.submission);
        if backlog.capacity > 0 {
            self.last_available = now;
        } else if !evacuated && now.since(self.last_available) < DISCOVERY_TIMEOUT_MS {
            // Agents that never appear must not keep jobs waiting that only evacuated zones serve.
            if !is_evacuated_from(&self.agents, &service) {
                self.settles_at = now + SETTLE_MS;
            }
            return;
        }
        let mut steps = job.submission.steps.iter();
        let fits = unheard > 0 || steps.all(|step| can_run(&self.agents, now, &service, step));
        let wait = backlog.wait();
        let slack = job.latest_start.since(now);
        let route = &job.submission.route.name;
        let longest = self.shares.longest_wait(route, own_work, &self.options.policy);
        let own_wait = (own_work / 2).checked_div(backlog.capacity);
        let in_time = |wait| wait <= longest && own_wait.unwrap_or(0).saturating_add(wait) <= slack;
        if fits && wait.is_some_and(in_time) {
            self.record_admission(now, key);
            return;
        }
        let retry_after = wait.unwrap_or(0).max(MIN_RETRY_AFTER_MS);
        log::info!(
            job:% = job.submission.job, request = job.submission.request.as_str(),
            route = job.submission.route.name.as_str(), wait_ms:? = wait,
            longest_wait_ms = longest, slack_ms = slack, capacity = backlog.capacity, fits = fits,
            evacuated = evacuated;
            "a job is refused: it would not start in time"
        );
        self.answer(now, key, Reply::Refused { retry_after });
    }

    /// Expected capacity of the known agents that are not heard yet, in thousandths of a core, if
    /// those heard so far provide `heard_capacity`.
    fn unheard_capacity(&self, heard_capacity: u64) -> u64 {
        let served = self.agents.values().filter(|it| !it.evacuated);
        let (heard, unheard): (Vec<_>, Vec<_>) = served.partition(|it| !it.unreachable);
        let (heard, unheard) = (heard.len(), unheard.len());
        heard_capacity * unheard as u64 / heard.max(1) as u64
    }

    /// Adds the work of an admitted job to the usage of its route.
    fn record_admission(&mut self, now: Uptime, key: JobKey) {
        if let Some(job) = self.jobs.get(key) {
            let work = job.total_work(&self.estimates);
            self.shares.record_admission(now, &job.submission.route.name, work);
        }
    }

    /// Work of all tasks that wait for free capacity, in thousandths of a core times ms.
    pub(super) fn waiting_work(&self) -> u64 {
        let waiting = self.queue.iter().filter_map(|key| self.jobs.get(key));
        sum(waiting.map(|job| job.waiting_work(&self.estimates)))
    }

    pub(super) fn on_disconnected(&mut self, now: Uptime, request_number: u64) {
        let Some(key) = self.by_request.remove(&request_number) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.request_numbers.retain(|it| *it != request_number);
        if job.request_numbers.is_empty() {
            log::info!(job:% = job.submission.job, waited_ms = now.since(job.arrived); "a job is given up: its caller disconnected");
            // Unlike a cancelled job, it runs if its caller sends it again.
            self.answer(now, key, Reply::GivenUp);
        }
    }

    pub(super) fn on_cancel(&mut self, now: Uptime, job: JobId) {
        if let Some(key) = self.by_id.get(&job).copied() {
            log::info!(job:% = job; "a job is cancelled on request");
            self.answer(now, key, Reply::Cancelled);
        } else if let Some(answered) = self.answered.get_mut(&job)
            && answered.reply == Reply::GivenUp
        {
            log::info!(job:% = job; "a job that was given up is cancelled on request");
            answered.reply = Reply::Cancelled;
        }
    }

    pub(super) fn check_jobs(&mut self, now: Uptime) {
        let mut requeued = Vec::new();
        let mut expired = Vec::new();
        for (key, job) in &mut self.jobs {
            if now >= job.deadline || job.cannot_have_run() && now >= job.useful_until() {
                expired.push(key);
                continue;
            }
            for task in &mut job.tasks {
                if matches!(task.state, TaskState::Lost { expiry, .. } if now >= expiry) {
                    task.state = TaskState::Waiting;
                    requeued.push((key, job.rank));
                }
            }
        }
        for (key, rank) in requeued {
            self.queue.insert(now, rank, key);
            self.placement_due = true;
        }
        for key in expired {
            self.give_up(now, key, "out of time");
        }
    }

    /// Gives up a job; the answer says whether any of its tasks may have run.
    pub(super) fn give_up(&mut self, now: Uptime, key: JobKey, why: &str) {
        let Some(job) = self.jobs.get(key) else { return };
        let cannot_have_run = job.cannot_have_run();
        log::warn!(
            job:% = job.submission.job, request = job.submission.request.as_str(),
            waited_ms = now.since(job.arrived), objective_ms = job.objective,
            not_run = cannot_have_run, why = why;
            "a job is given up"
        );
        let reply = if cannot_have_run {
            Reply::Refused { retry_after: MIN_RETRY_AFTER_MS }
        } else {
            Reply::GivenUp
        };
        self.answer(now, key, reply);
    }

    /// Answers a job and stops its remaining runs.
    pub(super) fn answer(&mut self, now: Uptime, key: JobKey, reply: Reply) {
        let Some(job) = self.jobs.remove(key) else { return };
        let id = job.submission.job;
        self.queue.remove(job.rank, key);
        self.by_id.remove(&id);
        let mut stops: BTreeMap<SocketAddrV4, Vec<RunKey>> = BTreeMap::new();
        for (agent, run) in job.placed() {
            stops.entry(agent).or_default().push(run);
        }
        for (agent, keys) in stops {
            if let Some(agent) = self.agents.get_mut(&agent) {
                agent.push_stops(&keys);
            }
        }
        log::info!(
            job:% = id, request = job.submission.request.as_str(),
            route = job.submission.route.name.as_str(), reply:? = reply,
            took_ms = now.since(job.arrived), objective_ms = job.objective;
            "a job is answered"
        );
        for request_number in job.request_numbers {
            self.by_request.remove(&request_number);
            self.effects.push(Effect::Answer { request_number, reply });
        }
        let last_run = job.tasks.iter().map(|it| it.last_run).max().unwrap_or(0);
        self.answered.insert(id, Answered { reply, last_run });
        self.expirations.push_back((now + ANSWER_RETENTION_MS, id));
        self.placement_due = true;
    }
}
