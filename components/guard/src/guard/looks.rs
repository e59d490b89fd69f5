//! Polls of the endpoint: its instance, its runs in progress, and its ended runs.

use std::{collections::HashMap, sync::Arc};

use mesh::{End, Health, RunKey, Uptime};

use super::{Guard, Heartbeat, HeartbeatState, IDLE_LOOK_MS, Pending, PendingLook, RETRY_LOOK_MS};
use crate::{
    call::{Answer, Call, CallKind, EndpointEnd, Look, Rejection},
    endpoint::Endpoint,
    health::Soundness,
    limits::{CLEAR_MS, HEDGE_MS, RENEW_MS, SILENT_MS, STALL_MS},
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
                self.news = true;
            }
            endpoint.draining |= draining;
            return;
        }
        if self.ended.contains(&beat.instance) {
            log::warn!(instance = &*beat.instance; "a heartbeat of an earlier instance is ignored");
            return;
        }
        let mut candidate = Endpoint::new(beat.instance, beat.address, beat.info);
        candidate.draining = draining;
        self.candidate = Some(candidate);
        self.ask_candidate();
    }

    /// Polls the announced endpoint to check that the address belongs to its instance.
    pub(super) fn ask_candidate(&mut self) {
        let Some(candidate) = &self.candidate else { return };
        if self.asking {
            return;
        }
        self.asking = true;
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
            self.news = true;
        }
    }

    pub(super) fn on_candidate(&mut self, now: Uptime, answer: Answer) {
        self.asking = false;
        match answer {
            Answer::Seen(look) => self.adopt_candidate(now, &look),
            Answer::Rejected(Rejection::Instance) => {
                if let Some(candidate) = self.candidate.take() {
                    log::warn!(instance = &*candidate.instance; "a heartbeat is ignored; its instance is not at its address");
                    self.ended.insert(candidate.instance);
                }
            }
            Answer::Accepted { .. } | Answer::Rejected(_) | Answer::Unsent | Answer::Unknown => {
                self.note_answer(now, &answer);
            }
        }
    }

    pub(super) fn adopt_candidate(&mut self, now: Uptime, look: &Look) {
        let Some(mut candidate) = self.candidate.take() else { return };
        if let Some(old) = &mut self.endpoint
            && old.address != candidate.address
            && !old.lapsed(now)
            && !self.runs.is_empty()
        {
            // The runs of the old instance must end with their lease first; the next heartbeat
            // polls the candidate again.
            old.gone = true;
            return;
        }
        if let Some(old) = self.endpoint.take() {
            self.ended.insert(old.instance);
            self.lose_runs(now);
        }
        log::info!(
            instance = &*candidate.instance, address:% = candidate.address,
            service = candidate.info.service.as_str(), cpu = candidate.info.cpu,
            running = look.running.len();
            "the endpoint has a new instance"
        );
        candidate.read_clock(now, look.clock);
        self.endpoint = Some(candidate);
        self.soundness = Soundness::new(now);
        self.unanswered = None;
        self.hold = None;
        self.looked = now;
        self.clear(look);
        self.news = true;
    }

    /// Stops the runs that an earlier agent started; until they are gone the endpoint gets no
    /// work.
    pub(super) fn clear(&mut self, look: &Look) {
        let Some(endpoint) = &mut self.endpoint else { return };
        if let Some(last) = look.ended.iter().map(|it| it.number).max() {
            endpoint.acknowledged = endpoint.acknowledged.max(last);
        }
        endpoint.cleared = look.running.is_empty();
        if endpoint.cleared {
            log::info!(instance = &*endpoint.instance; "nothing of an earlier agent runs on the endpoint");
            self.news = true;
            return;
        }
        for row in &look.running {
            self.call_endpoint(Pending::Clear, CallKind::Stop { key: row.key });
        }
    }

    pub(super) fn on_hold(&mut self, now: Uptime, sent: Uptime, acknowledged: u64, answer: Answer) {
        match answer {
            Answer::Seen(look) => {
                if self.is_silent(now) {
                    log::info!("the endpoint answers again");
                }
                self.unanswered = None;
                self.on_look(now, sent, acknowledged, &look);
            }
            Answer::Unsent | Answer::Unknown => {
                self.on_silence(now, &answer);
            }
            Answer::Accepted { .. } | Answer::Rejected(_) => self.note_answer(now, &answer),
        }
    }

    pub(super) fn on_look(&mut self, now: Uptime, sent: Uptime, acknowledged: u64, look: &Look) {
        let Some(endpoint) = &mut self.endpoint else { return };
        endpoint.read_clock(now, look.clock);
        endpoint.told = endpoint.told.max(acknowledged);
        if !endpoint.cleared {
            self.clear(look);
            return;
        }
        let seen = endpoint.acknowledged;
        if let Some(last) = look.ended.iter().map(|it| it.number).max() {
            endpoint.acknowledged = seen.max(last);
        }
        for row in &look.ended {
            if row.number > seen
                && let Some(slot) = self.runs.by_name(row.key)
            {
                self.on_end(now, slot, row.how);
            }
        }
        self.note_progress(now, sent, look);
    }

    pub(super) fn on_end(&mut self, now: Uptime, slot: RunSlot, how: EndpointEnd) {
        let Some(run) = self.runs.get(slot) else { return };
        let (job, took) = (run.key.job, now.since(run.started));
        let end = match how {
            EndpointEnd::Done => {
                if self.soundness.done(now, took, run.work.expected.into()) {
                    log::info!("the endpoint completed a task and gets work again");
                }
                End::Done
            }
            EndpointEnd::Failed => {
                if self.soundness.failed(now, job) {
                    log::warn!(job:% = job; "the endpoint fails task after task and gets no work for now");
                }
                End::Failed
            }
            EndpointEnd::Stopped => match run.phase {
                Phase::Stopping { end, .. } => end,
                Phase::Queued { .. } | Phase::Starting | Phase::Running => End::Stopped,
            },
            EndpointEnd::Lapsed => End::Lost,
        };
        self.end_run(now, slot, end);
    }

    /// Ends runs that are gone and stops runs that make no progress.
    pub(super) fn note_progress(&mut self, now: Uptime, sent: Uptime, look: &Look) {
        let percents: HashMap<RunKey, u32> =
            look.running.iter().map(|row| (row.key, row.percent)).collect();
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
                        run.progressed = now;
                    }
                    Some(_) if now.since(run.progressed) >= STALL_MS => stalled.push(slot),
                    Some(_) => {}
                    None if sent > run.progressed => gone.push((slot, End::Lost)),
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
            log::warn!(runs = stalled.len(); "runs make no progress and are stopped; the endpoint gets no work for now");
            self.soundness.close(now);
            self.news = true;
        }
        for slot in stalled {
            self.stop_run(now, slot, End::Stalled);
        }
    }

    /// Handles a poll that was not answered.
    pub(super) fn on_silence(&mut self, now: Uptime, answer: &Answer) {
        let since = *self.unanswered.get_or_insert(now);
        if now.since(since) >= SILENT_MS && self.soundness.health(now) != Health::Closed {
            log::warn!(answer:? = answer; "the endpoint does not answer; it gets no work and no lease");
            self.soundness.close(now);
            self.news = true;
        }
    }

    /// Whether the endpoint has stopped answering.
    pub(super) fn is_silent(&self, now: Uptime) -> bool {
        self.unanswered.is_some_and(|since| now.since(since) >= SILENT_MS)
    }

    /// Polls the endpoint if a poll is due; the interval depends on its runs and its last answers.
    pub(super) fn look(&mut self, now: Uptime) {
        let busy = self.runs.any_active();
        let renews = busy && self.may_start(now) && self.unanswered.is_none();
        let silent = self.is_silent(now);
        let doubtful = self.unanswered.is_some();
        let Some(endpoint) = &mut self.endpoint else { return };
        if let Some(hold) = &self.hold
            && now.since(hold.sent) < hold.wait + HEDGE_MS
        {
            return;
        }
        let unacknowledged = endpoint.acknowledged > endpoint.told;
        let pause = if silent {
            RETRY_LOOK_MS
        } else if doubtful {
            HEDGE_MS
        } else if !endpoint.cleared {
            CLEAR_MS
        } else if busy || unacknowledged {
            0
        } else {
            IDLE_LOOK_MS
        };
        if now.since(self.looked) < pause {
            return;
        }
        let lease = if renews { endpoint.grant(now, self.options.timing.lease) } else { None };
        let wait = if busy && !doubtful && endpoint.cleared { RENEW_MS } else { 0 };
        let acknowledged = endpoint.acknowledged;
        let instance = Arc::clone(&endpoint.instance);
        self.looked = now;
        let kind = CallKind::Hold { lease, acknowledged, wait };
        let overdue = self.hold.take().is_some();
        if overdue {
            self.on_silence(now, &Answer::Unknown);
        }
        let pending = Pending::Hold { instance, sent: now, acknowledged };
        let id = self.call_endpoint(pending, kind);
        self.hold = id.map(|id| PendingLook { id, sent: now, wait });
    }

    /// Ends the runs of a lost endpoint as lost once every lease sent to it has expired.
    pub(super) fn check_lapsed(&mut self, now: Uptime) {
        let Some(endpoint) = &self.endpoint else { return };
        if !endpoint.lapsed(now) || !(endpoint.gone || self.is_silent(now)) {
            return;
        }
        if self.runs.any_active() {
            log::warn!(instance = &*endpoint.instance; "all leases of an endpoint that has left or does not answer have expired; its runs are lost");
            self.lose_runs(now);
        }
        if self.endpoint.as_ref().is_some_and(|it| it.gone)
            && let Some(endpoint) = self.endpoint.take()
        {
            self.ended.insert(endpoint.instance);
        }
    }
}
