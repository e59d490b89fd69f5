//! Behaviour of callers: arrivals, requests and retries, and the count of results.

use broker::{Event as EntryEvent, Reply};
use mesh::{JobId, Uptime};
use rand::RngExt;

use super::{Event, QueuedRequest, Simulation, WARM_UP_MS};
use crate::{
    callers::{MAX_SENDS, OpenJob, RESEND_MS},
    report::Violation,
    weighting::{Timeliness, weighted_shares},
};

/// Number of crashes under a task with which its job may be given up.
const MIN_CRASHES: u32 = 2;

impl Simulation {
    pub(super) fn push_arrival(&mut self, kind: usize, after: u64) {
        let rate = self.options.load.rate(kind, after.saturating_sub(WARM_UP_MS));
        if rate <= 0.0 {
            return;
        }
        let pause = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / rate;
        let at = after + pause as u64;
        if at < WARM_UP_MS + self.options.length {
            self.push(at, Event::Arrive(kind));
        }
    }

    pub(super) fn on_arrival(&mut self, kind: usize) {
        self.push_arrival(kind, self.now);
        let job = JobId(self.next_job);
        self.next_job += 1;
        let (mut submission, mut needs) = self.options.load.sample(kind, job, &mut self.rng);
        if let Some((_, share)) = self.deadly.filter(|it| it.0 == kind) {
            needs.deadly = self.draw(share);
        }
        submission.timeout = self.options.timeout.unwrap_or(submission.timeout);
        self.needs.insert(job, needs);
        self.report.kinds[kind].sent += 1;
        let open = OpenJob { submission, first_sent: self.now, sends: 0, request: None };
        self.callers.open.insert(job, open);
        self.first_sent.insert(job, self.now);
        self.send_job(job);
    }

    /// Sends a job to a random entry, or schedules a retry if that entry is down.
    pub(super) fn send_job(&mut self, job: JobId) {
        let entry = self.choose_entry();
        let Some(open) = self.callers.open.get_mut(&job) else { return };
        open.sends += 1;
        if open.sends > MAX_SENDS {
            self.finish(job, None);
            return;
        }
        if self.entries[entry].is_none() {
            self.push(self.now + RESEND_MS, Event::Send(job));
            return;
        }
        let timeout = open.submission.timeout;
        let token = self.callers.add_request(job);
        if let Some(open) = self.callers.open.get_mut(&job) {
            open.request = Some((entry, token));
        }
        self.push(self.now, Event::Submit { entry, job, token, sent: self.now });
        self.push(self.now + timeout, Event::RequestTimeout { job, token });
    }

    fn choose_entry(&mut self) -> usize {
        let total: u32 = self.options.demand.iter().sum();
        if total == 0 {
            return self.rng.random_range(0..self.entries.len());
        }
        let mut drawn = self.rng.random_range(0..total);
        let chosen = self.options.demand.iter().position(|share| {
            let hit = drawn < *share;
            drawn = drawn.saturating_sub(*share);
            hit
        });
        chosen.unwrap_or(0)
    }

    /// Reads a request, possibly long after it was sent if the entry was suspended.
    pub(super) fn on_submit(&mut self, entry: usize, job: JobId, token: u64, sent: u64) {
        let Some(open) = self.callers.open.get(&job) else { return };
        let end = self.callers.ends.get(&token);
        if end.is_some_and(|it| *it <= self.now) {
            // An entry drops a request if the end of its connection has arrived before it is read.
            return;
        }
        let submission = open.submission.clone();
        self.trace(job, || format!("sent to entry {entry} as request {token}"));
        let request = QueuedRequest { token, arrived: sent, read: self.now, submission };
        if self.options.queue_delay == 0 {
            self.handle_request(entry, request);
            return;
        }
        let at = self.now + self.rng.random_range(0..=self.options.queue_delay);
        self.push(at, Event::Dequeue { entry, request: Box::new(request) });
    }

    pub(super) fn handle_request(&mut self, entry: usize, request: QueuedRequest) {
        let QueuedRequest { token, arrived, read, submission } = request;
        if read < self.entry_starts[entry] || self.closed.contains(&token) {
            return;
        }
        let (arrived, read) = (Uptime(arrived), Uptime(read));
        let event = EntryEvent::Submit { request_number: token, arrived, read, submission };
        self.run_entry(entry, event);
    }

    /// Handles a request timeout: the caller disconnects and schedules a retry.
    pub(super) fn on_request_timeout(&mut self, job: JobId, token: u64) {
        let Some(open) = self.callers.open.get_mut(&job) else { return };
        let Some((entry, _)) = open.request.filter(|(_, it)| *it == token) else { return };
        open.request = None;
        self.callers.requests.remove(&token);
        let end = self.now + self.options.end_delay;
        self.callers.ends.insert(token, end);
        self.push(end, Event::Disconnect { entry, token });
        self.push(self.now + RESEND_MS, Event::Send(job));
    }

    pub(super) fn on_reply(&mut self, token: u64, reply: Reply) {
        let Some(job) = self.callers.requests.remove(&token) else { return };
        let Some(open) = self.callers.open.get_mut(&job) else { return };
        if open.request.is_none_or(|(_, it)| it != token) {
            return;
        }
        open.request = None;
        self.trace(job, || format!("request {token} is answered: {reply:?}"));
        let Some(open) = self.callers.open.get_mut(&job) else { return };
        match reply {
            Reply::Completed | Reply::Failed => self.finish(job, Some(reply)),
            Reply::Refused { .. } => {
                if open.sends == 1 {
                    self.refused.insert(job);
                }
                self.finish(job, Some(reply));
            }
            Reply::GivenUp | Reply::Cancelled => {
                self.push(self.now + RESEND_MS, Event::Send(job));
            }
        }
    }

    /// Counts the result of a job that gets no further answer.
    pub(super) fn finish(&mut self, job: JobId, reply: Option<Reply>) {
        let Some(open) = self.callers.open.remove(&job) else { return };
        let needs = &self.needs[&job];
        let took = self.now - open.first_sent;
        let kind = &mut self.report.kinds[needs.kind];
        let is_correct = match reply {
            Some(Reply::Completed) => !needs.poisoned,
            Some(Reply::Failed) => needs.poisoned || needs.deadly,
            Some(Reply::Refused { .. } | Reply::GivenUp | Reply::Cancelled) | None => false,
        };
        if reply == Some(Reply::Failed) {
            match needs.deadly {
                true => self.report.deadly_failed += 1,
                false if !needs.poisoned => {
                    let mut crashes = self.crashes.iter().filter(|(task, _)| task.0 == job);
                    match crashes.any(|(_, count)| *count >= MIN_CRASHES) {
                        true => self.report.sound_given_up.push(job),
                        false => self.report.sound_failed.push(job),
                    }
                }
                false => {}
            }
        }
        match reply {
            Some(Reply::Refused { .. }) if took * 4 <= needs.objective => kind.refused_early += 1,
            Some(Reply::Refused { .. }) => kind.refused_late += 1,
            _ if !is_correct => kind.failed += 1,
            _ if took <= needs.objective => {
                kind.in_time += 1;
                self.answered.insert(job, Timeliness::InTime);
            }
            _ => {
                kind.late += 1;
                self.answered.insert(job, Timeliness::Late);
            }
        }
        if is_correct {
            kind.times.saturating_record(took);
            let work: u64 = needs.run_times.iter().sum();
            self.report.useful_work += work * u64::from(needs.cpu) / 1_000;
        }
    }

    /// Counts jobs without an answer at the end of the simulation, and reports refused jobs
    /// that have run.
    pub(super) fn finish_report(&mut self) {
        for entry in self.entries.iter().flatten() {
            self.report.orders += entry.order_counts();
        }
        let mut open: Vec<_> = self.callers.open.keys().copied().collect();
        open.sort_unstable();
        for job in open {
            self.finish(job, None);
        }
        let mut wrongly_refused: Vec<_> = self.refused.intersection(&self.ran).copied().collect();
        wrongly_refused.sort_unstable();
        for job in wrongly_refused {
            let description = format!("job {job} was refused and has run");
            self.report.violations.push(Violation { at: self.now, description });
        }
        let endpoints = self.options.endpoints.iter().enumerate();
        let capacity: f64 = endpoints
            .map(|(agent, cpu)| f64::from(*cpu) / 1_000.0 / self.usual_slowness(agent))
            .sum();
        let length = self.options.length as f64;
        self.report.weighted = weighted_shares(&self.needs, &self.answered, capacity * length);
    }

    /// Breaks the requests at an entry that was killed and schedules their retries.
    pub(super) fn drop_requests(&mut self, entry: usize) {
        for (job, token) in self.callers.requests_at(entry) {
            self.callers.requests.remove(&token);
            if let Some(open) = self.callers.open.get_mut(&job) {
                open.request = None;
            }
            self.push(self.now + RESEND_MS, Event::Send(job));
        }
    }
}
