//! Polls of the endpoint: its instance, its runs in progress, and its ended runs.

use std::{collections::HashMap, sync::Arc};

use mesh::{End, Health, RunKey, Uptime};

use super::{Guard, Heartbeat, HeartbeatState, IDLE_POLL_MS, Pending, PendingPoll, RETRY_POLL_MS};
use crate::{
    call::{Answer, Call, CallKind, Rejection, RunOutcome, Snapshot},
    endpoint::Endpoint,
    health::HealthTracker,
    limits::{ENDPOINT_SILENCE_MS, HEDGE_MS, ORPHAN_POLL_MS, RENEW_MS, STALL_MS},
    runs::{Phase, RunSlot},
};

impl Guard {
    pub(super) fn on_heartbeat(&mut self, beat: Heartbeat) {
        let draining = beat.state == HeartbeatState::Draining;
        if let Some(endpoint) = &mut self.endpoint
            && endpoint.instance == beat.instance
        {
            if draining && !endpoint.draining {
                log::info!(instance = &*beat.instance; "the endpoint is draining and gets no more work");
                self.changed = true;
            }
            endpoint.draining |= draining;
            return;
        }
        if self.ended_instances.contains(&beat.instance) {
            log::warn!(instance = &*beat.instance; "a heartbeat of an earlier instance is ignored");
            return;
        }
        let mut candidate = Endpoint::new(beat.instance, beat.address, beat.info);
        candidate.draining = draining;
        self.candidate = Some(candidate);
        self.poll_candidate();
    }

    /// Polls the announced endpoint to check that the address belongs to its instance.
    pub(super) fn poll_candidate(&mut self) {
        let Some(candidate) = &self.candidate else { return };
        if self.candidate_pending {
            return;
        }
        self.candidate_pending = true;
        let kind = CallKind::Hold { lease: None, acknowledged: 0, wait: 0 };
        let call = Call {
            instance: Arc::clone(&candidate.instance),
            address: candidate.address,
            token: self.token,
            kind,
        };
        self.call(Pending::Candidate, call);
    }

    pub(super) fn on_left(&mut self, instance: &str) {
        if let Some(endpoint) = &mut self.endpoint
            && *endpoint.instance == *instance
        {
            log::info!(instance = instance; "the endpoint has left");
            endpoint.gone = true;
            self.changed = true;
        }
    }

    pub(super) fn on_candidate_answer(&mut self, now: Uptime, answer: Answer) {
        self.candidate_pending = false;
        match answer {
            Answer::Seen(snapshot) => self.adopt_candidate(now, &snapshot),
            Answer::Rejected(Rejection::Instance) => {
                if let Some(candidate) = self.candidate.take() {
                    log::warn!(instance = &*candidate.instance; "a heartbeat is ignored; its instance is not at its address");
                    self.ended_instances.insert(candidate.instance);
                }
            }
            Answer::Accepted { .. } | Answer::Rejected(_) | Answer::Unsent | Answer::Unknown => {
                self.on_any_answer(now, &answer);
            }
        }
    }

    pub(super) fn adopt_candidate(&mut self, now: Uptime, snapshot: &Snapshot) {
        let Some(mut candidate) = self.candidate.take() else { return };
        if let Some(old) = &mut self.endpoint
            && old.address != candidate.address
            && !old.leases_expired(now)
            && !self.runs.is_empty()
        {
            // The runs of the old instance must end with their lease first; the next heartbeat
            // polls the announced endpoint again.
            old.gone = true;
            return;
        }
        if let Some(old) = self.endpoint.take() {
            self.ended_instances.insert(old.instance);
            self.end_lost_runs(now);
        }
        log::info!(
            instance = &*candidate.instance, address:% = candidate.address,
            service = candidate.info.service.as_str(), cpu = candidate.info.cpu,
            running = snapshot.running.len();
            "the endpoint has a new instance"
        );
        candidate.record_clock(now, snapshot.clock);
        self.endpoint = Some(candidate);
        self.health_tracker = HealthTracker::new(now);
        self.unanswered_since = None;
        self.poll = None;
        self.last_poll = now;
        self.stop_orphans(snapshot);
        self.changed = true;
    }

    /// Stops orphans, the runs that an earlier agent started; until they are gone the endpoint
    /// gets no work.
    pub(super) fn stop_orphans(&mut self, snapshot: &Snapshot) {
        let Some(endpoint) = &mut self.endpoint else { return };
        if let Some(last) = snapshot.ended.iter().map(|it| it.number).max() {
            endpoint.processed = endpoint.processed.max(last);
        }
        endpoint.orphan_free = snapshot.running.is_empty();
        if endpoint.orphan_free {
            log::info!(instance = &*endpoint.instance; "nothing of an earlier agent runs on the endpoint");
            self.changed = true;
            return;
        }
        for row in &snapshot.running {
            self.call_endpoint(Pending::StopOrphan, CallKind::Stop { key: row.key });
        }
    }

    pub(super) fn on_poll_answer(
        &mut self,
        now: Uptime,
        sent: Uptime,
        acknowledged: u64,
        answer: Answer,
    ) {
        match answer {
            Answer::Seen(snapshot) => {
                if self.is_silent(now) {
                    log::info!("the endpoint answers again");
                }
                self.unanswered_since = None;
                self.on_snapshot(now, sent, acknowledged, &snapshot);
            }
            Answer::Unsent | Answer::Unknown => {
                self.on_unanswered_poll(now, &answer);
            }
            Answer::Accepted { .. } | Answer::Rejected(_) => self.on_any_answer(now, &answer),
        }
    }

    pub(super) fn on_snapshot(
        &mut self,
        now: Uptime,
        sent: Uptime,
        acknowledged: u64,
        snapshot: &Snapshot,
    ) {
        let Some(endpoint) = &mut self.endpoint else { return };
        endpoint.record_clock(now, snapshot.clock);
        endpoint.acknowledged = endpoint.acknowledged.max(acknowledged);
        if !endpoint.orphan_free {
            self.stop_orphans(snapshot);
            return;
        }
        let seen = endpoint.processed;
        if let Some(last) = snapshot.ended.iter().map(|it| it.number).max() {
            endpoint.processed = seen.max(last);
        }
        for row in &snapshot.ended {
            if row.number > seen
                && let Some(slot) = self.runs.by_endpoint_key(row.key)
            {
                self.on_outcome(now, slot, row.outcome);
            }
        }
        self.check_progress(now, sent, snapshot);
    }

    pub(super) fn on_outcome(&mut self, now: Uptime, slot: RunSlot, outcome: RunOutcome) {
        let Some(run) = self.runs.get(slot) else { return };
        let (job, took) = (run.key.job, now.since(run.started));
        let end = match outcome {
            RunOutcome::Done => {
                if self.health_tracker.record_success(now, took, run.work.expected.into()) {
                    log::info!("the endpoint completed a task and gets work again");
                }
                End::Done
            }
            RunOutcome::Failed => {
                if self.health_tracker.record_failure(now, job) {
                    log::warn!(job:% = job; "the endpoint fails task after task and is ejected");
                }
                End::Failed
            }
            RunOutcome::Stopped => match run.phase {
                Phase::Stopping { end, .. } => end,
                Phase::Queued { .. } | Phase::Starting | Phase::Running => End::Stopped,
            },
            RunOutcome::Lapsed => End::Lost,
        };
        self.end_run(now, slot, end);
    }

    /// Ends runs that are gone and stops runs that make no progress.
    pub(super) fn check_progress(&mut self, now: Uptime, sent: Uptime, snapshot: &Snapshot) {
        let percents: HashMap<RunKey, u32> =
            snapshot.running.iter().map(|row| (row.key, row.percent)).collect();
        let mut gone = Vec::new();
        let mut stalled = Vec::new();
        let slots: Vec<_> = self.runs.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let Some(run) = self.runs.get_mut(slot) else { continue };
            let percent = percents.get(&RunKey { run: run.number, ..run.key });
            match run.phase {
                Phase::Queued { .. } | Phase::Starting => {}
                Phase::Running => match percent {
                    Some(percent) if *percent > run.percent => {
                        run.percent = *percent;
                        run.last_progress = now;
                    }
                    Some(_) if now.since(run.last_progress) >= STALL_MS => stalled.push(slot),
                    Some(_) => {}
                    None if sent > run.last_progress => gone.push((slot, End::Lost)),
                    None => {}
                },
                Phase::Stopping { answered: Some(at), end, .. } => {
                    if percent.is_none() && sent > at {
                        gone.push((slot, end));
                    }
                }
                Phase::Stopping { answered: None, .. } => {}
            }
        }
        for (slot, end) in gone {
            self.end_run(now, slot, end);
        }
        if !stalled.is_empty() {
            log::warn!(runs = stalled.len(); "runs make no progress and are stopped; the endpoint is ejected");
            self.health_tracker.eject(now);
            self.changed = true;
        }
        for slot in stalled {
            self.stop_run(now, slot, End::Stalled);
        }
    }

    /// Handles a poll that was not answered.
    pub(super) fn on_unanswered_poll(&mut self, now: Uptime, answer: &Answer) {
        let since = *self.unanswered_since.get_or_insert(now);
        if now.since(since) >= ENDPOINT_SILENCE_MS
            && self.health_tracker.health(now) != Health::Closed
        {
            log::warn!(answer:? = answer; "the endpoint does not answer; it gets no work and no lease");
            self.health_tracker.eject(now);
            self.changed = true;
        }
    }

    /// Whether [`ENDPOINT_SILENCE_MS`] have passed since the first poll timeout, and no poll has
    /// been answered since.
    pub(super) fn is_silent(&self, now: Uptime) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) >= ENDPOINT_SILENCE_MS)
    }

    /// Polls the endpoint if a poll is due; the interval depends on its runs and its last answers.
    pub(super) fn poll_endpoint(&mut self, now: Uptime) {
        let busy = self.runs.has_active();
        let renews = busy && self.may_start(now) && self.unanswered_since.is_none();
        let silent = self.is_silent(now);
        let unanswered = self.unanswered_since.is_some();
        let Some(endpoint) = &mut self.endpoint else { return };
        if let Some(poll) = &self.poll
            && now.since(poll.sent) < poll.wait + HEDGE_MS
        {
            return;
        }
        let unacknowledged = endpoint.processed > endpoint.acknowledged;
        let pause = if silent {
            RETRY_POLL_MS
        } else if unanswered {
            HEDGE_MS
        } else if !endpoint.orphan_free {
            ORPHAN_POLL_MS
        } else if busy || unacknowledged {
            0
        } else {
            IDLE_POLL_MS
        };
        if now.since(self.last_poll) < pause {
            return;
        }
        let lease =
            if renews { endpoint.grant_lease(now, self.options.timing.lease) } else { None };
        let wait = if busy && !unanswered && endpoint.orphan_free { RENEW_MS } else { 0 };
        let acknowledged = endpoint.processed;
        let instance = Arc::clone(&endpoint.instance);
        self.last_poll = now;
        let kind = CallKind::Hold { lease, acknowledged, wait };
        let overdue = self.poll.take().is_some();
        if overdue {
            self.on_unanswered_poll(now, &Answer::Unknown);
        }
        let pending = Pending::Poll { instance, sent: now, acknowledged };
        let id = self.call_endpoint(pending, kind);
        self.poll = id.map(|id| PendingPoll { id, sent: now, wait });
    }

    /// Ends all runs of an endpoint that is gone or silent once every lease sent to it has expired.
    pub(super) fn check_leases(&mut self, now: Uptime) {
        let Some(endpoint) = &self.endpoint else { return };
        if !endpoint.leases_expired(now) || !(endpoint.gone || self.is_silent(now)) {
            return;
        }
        if self.runs.has_active() {
            log::warn!(instance = &*endpoint.instance; "all leases of an endpoint that has left or does not answer have expired; its runs are lost");
            self.end_lost_runs(now);
        }
        if self.endpoint.as_ref().is_some_and(|it| it.gone)
            && let Some(endpoint) = self.endpoint.take()
        {
            self.ended_instances.insert(endpoint.instance);
        }
    }
}
