//! Polls of the endpoint: its instance, its runs in progress, and its ended runs.

use std::collections::{HashMap, HashSet};

use mesh::{End, Health, RunKey, Uptime};

use super::{Guard, Heartbeat, HeartbeatState, IDLE_POLL_MS, PendingPoll, Purpose, RETRY_POLL_MS};
use crate::{
    call::{Answer, Call, CallKind, EndedRun, Rejection, RunOutcome, Snapshot},
    cold::Cold,
    crashes::CrashedRun,
    endpoint::Endpoint,
    health::HealthTracker,
    instance::{Age, Instance},
    limits::{ENDPOINT_SILENCE_MS, HEDGE_MS, MAX_HOLD_MS, ORPHAN_POLL_MS, RENEW_MS, STALL_MS},
    removal::Notice,
    runs::{Phase, Run, RunSlot},
};

impl Guard {
    pub(super) fn on_heartbeat(&mut self, now: Uptime, beat: Heartbeat) {
        let draining = beat.state == HeartbeatState::Draining;
        let remaining = beat.time_remaining.filter(|_| draining);
        let has_id = |it: &Endpoint| it.instance.id == beat.instance.id;
        let is_announced = self.announced.as_ref().is_some_and(has_id);
        let known = if is_announced { &mut self.announced } else { &mut self.endpoint };
        if let Some(known) = known.as_mut().filter(|it| has_id(it)) {
            let has_birth = known.instance.born.is_some();
            let age = known.instance.age_of(beat.instance.born);
            let is_newest = age == Age::Same && known.accept_sequence(beat.sequence);
            match age {
                Age::Older => {
                    log::warn!(instance:% = beat.instance, known:% = known.instance; "a heartbeat of an earlier instance is ignored");
                    return;
                }
                Age::Same if !is_newest && (has_birth || is_announced) => return,
                Age::Same if !is_announced || has_birth => {
                    if draining && !known.draining {
                        log::info!(instance:% = known.instance; "the endpoint is draining and gets no more work");
                        self.report_due = true;
                    }
                    known.draining |= draining;
                    if !known.described {
                        known.described = true;
                        known.address = beat.address;
                        known.info = beat.info;
                        self.report_due = true;
                    } else if is_newest {
                        // Numbers start anew with each instance. One without a birth time may have
                        // restarted unnoticed, but its capacity must not come from a late heartbeat.
                        self.report_due |= known.resize(&beat.info);
                    }
                    known.cold = Cold::update(known.cold, now, beat.cold_remaining);
                    match remaining {
                        Some(remaining) if is_announced => {
                            known.notice = Some(Notice::new(now, remaining));
                        }
                        Some(remaining) => self.on_removal_notice(now, remaining),
                        None => {}
                    }
                    return;
                }
                Age::Same | Age::Newer => {}
            }
        }
        if self.ended_instances.contains(&beat.instance) {
            log::warn!(instance:% = beat.instance; "a heartbeat of an earlier instance is ignored");
            return;
        }
        let mut announced = Endpoint::new(beat.instance, beat.address, beat.info);
        announced.accept_sequence(beat.sequence);
        announced.draining = draining;
        announced.cold = Cold::update(None, now, beat.cold_remaining);
        announced.notice = remaining.map(|it| Notice::new(now, it));
        self.announce(now, announced);
    }

    /// Polls an announced instance. If it is a restart of the endpoint under its id, the present
    /// instance gets no more calls.
    fn announce(&mut self, now: Uptime, announced: Endpoint) {
        if announced.instance.born.is_some() {
            // Calls name the id alone. With a higher token, the instance rejects those that were
            // sent to an earlier one and arrive after its first poll.
            self.fencing_token = self.fencing_token.saturating_add(1);
        }
        if let Some(old) = &mut self.endpoint
            && old.instance.id == announced.instance.id
            && !old.restarted
        {
            log::warn!(
                instance:% = announced.instance, earlier:% = old.instance,
                active = self.runs.iter().filter(|(_, run)| run.phase.holds_resources()).count();
                "the endpoint has restarted under its id"
            );
            old.gone = true;
            old.restarted = true;
            self.restarts += 1;
            self.report_due = true;
            self.confirm_crash(now);
        }
        self.announced = Some(announced);
        self.poll_announced();
    }

    /// Polls the announced endpoint to check that the address belongs to its instance.
    pub(super) fn poll_announced(&mut self) {
        let Some(announced) = &self.announced else { return };
        if self.polling_announced {
            return;
        }
        self.polling_announced = true;
        let kind = CallKind::Hold { lease: None, acknowledged: 0, wait: 0 };
        let call = Call {
            instance: announced.instance.clone(),
            address: announced.address,
            fencing_token: self.fencing_token,
            kind,
        };
        self.call(Purpose::Announced, call);
    }

    pub(super) fn on_left(&mut self, instance: &str) {
        if let Some(endpoint) = &mut self.endpoint
            && *endpoint.instance.id == *instance
        {
            log::info!(instance = instance; "the endpoint has left");
            endpoint.gone = true;
            endpoint.left = true;
            self.report_due = true;
        }
    }

    /// Handles the answer to the poll of `polled`, which may no longer be the announced instance.
    pub(super) fn on_announced_answer(&mut self, now: Uptime, polled: Instance, answer: Answer) {
        self.polling_announced = false;
        let is_newest = self.announced.as_ref().is_some_and(|it| it.instance == polled);
        match answer {
            Answer::Seen(snapshot) if is_newest => match polled.age_of(snapshot.born) {
                Age::Same => self.adopt_announced(now, &snapshot),
                Age::Newer => {
                    let newer = self.announced.as_ref().map(|it| it.successor(snapshot.born));
                    if let Some(newer) = newer {
                        self.announce(now, newer);
                    }
                }
                Age::Older => {}
            },
            Answer::Rejected(Rejection::Instance) => {
                log::warn!(instance:% = polled; "a heartbeat is ignored; its instance is not at its address");
                self.announced.take_if(|it| it.instance == polled);
                self.ended_instances.insert(polled);
            }
            Answer::Rejected(Rejection::Fence) => self.on_any_answer(now, &answer),
            Answer::Rejected(
                Rejection::Old
                | Rejection::Late
                | Rejection::Room
                | Rejection::Unhealthy
                | Rejection::Invalid,
            )
            | Answer::Seen(_)
            | Answer::Accepted { .. }
            | Answer::Unsent
            | Answer::Unknown => {}
        }
    }

    pub(super) fn adopt_announced(&mut self, now: Uptime, snapshot: &Snapshot) {
        let Some(mut announced) = self.announced.take() else { return };
        let is_replaced = |it: &Endpoint| it.instance.id != announced.instance.id && !it.gone;
        if self.endpoint.as_ref().is_some_and(is_replaced) {
            self.confirm_crash(now);
        }
        if let Some(old) = &mut self.endpoint
            && old.address != announced.address
            && !old.leases_expired(now)
            && !self.runs.is_empty()
        {
            // The runs of the old instance must end with their lease first; the next heartbeat
            // polls the announced endpoint again.
            old.gone = true;
            return;
        }
        let old = self.endpoint.take();
        if let Some(old) = &old {
            self.ended_instances.insert(old.instance.clone());
            if old.instance.id != announced.instance.id {
                self.end_lost_runs(now);
            }
        }
        log::info!(
            instance:% = announced.instance, address:% = announced.address,
            service = announced.info.service.as_str(), cpu = announced.info.cpu,
            running = snapshot.running.len();
            "the endpoint has a new instance"
        );
        announced.record_clock(now, snapshot.clock);
        self.endpoint = Some(announced);
        self.health_tracker = HealthTracker::new(now);
        self.first_unanswered = None;
        self.poll = None;
        self.last_poll = now;
        self.end_runs_of_earlier_instance(now, snapshot);
        self.stop_orphans(snapshot);
        self.report_due = true;
    }

    /// Ends the runs that were started on an earlier instance with the endpoint's id, of which
    /// `snapshot` is the first list.
    ///
    /// A run that it lists was started by a call meant for the earlier instance. It is stopped, and
    /// lost once it is gone. No other can follow, as this poll has raised the fencing token.
    fn end_runs_of_earlier_instance(&mut self, now: Uptime, snapshot: &Snapshot) {
        let listed: HashSet<RunSlot> =
            snapshot.running.iter().filter_map(|it| self.runs.by_endpoint_key(it.key)).collect();
        if let Some(endpoint) = &mut self.endpoint
            && !listed.is_empty()
        {
            // The expiry in such a call was meant for another clock.
            endpoint.lease_end = snapshot.clock.saturating_add(MAX_HOLD_MS);
        }
        for slot in &listed {
            let Some(run) = self.runs.get_mut(*slot) else { continue };
            let end = match run.phase {
                Phase::Stopping { end, .. } => end,
                Phase::Queued { .. } | Phase::Starting | Phase::Running => End::Lost,
            };
            log::warn!(run:% = run.key, number = run.number; "a run that a restarted endpoint was not to start is stopped");
            run.phase = Phase::Stopping { requested: now, answered: None, end };
            self.doubtful_runs += 1;
            self.send_stop(*slot);
        }
        self.end_runs_if(now, |slot| !listed.contains(&slot));
    }

    /// Stops orphans, the runs that an earlier agent started; until they are gone the endpoint
    /// gets no work.
    pub(super) fn stop_orphans(&mut self, snapshot: &Snapshot) {
        let Some(endpoint) = &mut self.endpoint else { return };
        if let Some(last) = snapshot.last_ended() {
            endpoint.processed = endpoint.processed.max(last);
        }
        endpoint.orphan_free = snapshot.running.is_empty();
        if endpoint.orphan_free {
            log::info!(instance:% = endpoint.instance; "nothing of an earlier agent runs on the endpoint");
            self.report_due = true;
            return;
        }
        for row in &snapshot.running {
            if self.runs.by_endpoint_key(row.key).is_some() {
                continue;
            }
            self.call_endpoint(Purpose::StopOrphan, CallKind::Stop { key: row.key });
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
                let Some(endpoint) = &self.endpoint else { return };
                match endpoint.instance.age_of(snapshot.born) {
                    Age::Same => {
                        if self.is_silent(now) {
                            log::info!("the endpoint answers again");
                            self.crashes.dismiss(now, &endpoint.instance);
                        }
                        self.first_unanswered = None;
                        self.on_snapshot(now, sent, acknowledged, &snapshot);
                    }
                    Age::Newer => {
                        let newer = endpoint.successor(snapshot.born);
                        self.announce(now, newer);
                    }
                    Age::Older => self.on_unanswered_poll(now, &Answer::Unknown),
                }
            }
            Answer::Rejected(Rejection::Fence | Rejection::Instance) => {
                self.on_any_answer(now, &answer);
            }
            Answer::Rejected(
                Rejection::Old
                | Rejection::Late
                | Rejection::Room
                | Rejection::Unhealthy
                | Rejection::Invalid,
            )
            | Answer::Accepted { .. }
            | Answer::Unsent
            | Answer::Unknown => self.on_unanswered_poll(now, &answer),
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
        if let Some(last) = snapshot.last_ended() {
            endpoint.processed = seen.max(last);
        }
        // If one copy of a run has failed and another has completed the task, the task is done.
        let (done, others): (Vec<&EndedRun>, Vec<_>) = snapshot
            .ended
            .iter()
            .filter(|it| it.number > seen)
            .partition(|it| it.outcome == RunOutcome::Done);
        for row in done.into_iter().chain(others) {
            if let Some(slot) = self.runs.by_endpoint_key(row.key) {
                let in_progress = snapshot.running.iter().any(|it| it.key == row.key);
                self.on_outcome(now, slot, row.outcome, in_progress);
            }
        }
        self.check_progress(now, sent, snapshot);
    }

    /// Handles an end that the endpoint lists, perhaps for a run that it lists as in progress too.
    fn on_outcome(&mut self, now: Uptime, slot: RunSlot, outcome: RunOutcome, in_progress: bool) {
        let Some(run) = self.runs.get(slot) else { return };
        // Only one of several copies may have failed.
        let copy_failed = outcome == RunOutcome::Failed && run.copies.not_rejected() > 1;
        let may_run = in_progress || copy_failed;
        if may_run {
            log::warn!(
                run:% = run.key, number = run.number, outcome:? = outcome,
                in_progress = in_progress, copies = run.copies.sent,
                unanswered = run.copies.unanswered;
                "a run that is listed as ended may still run and is stopped"
            );
        }
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
        // Another copy has completed the task.
        let was_done = matches!(run.phase, Phase::Stopping { end: End::Done, .. });
        let end = if was_done { End::Done } else { end };
        if may_run {
            self.doubtful_runs += 1;
            self.stop_ended_run(now, slot, end);
        } else {
            self.end_run(now, slot, end);
        }
    }

    /// Stops a run that may go on after its end was listed, and reports that end once it is gone.
    fn stop_ended_run(&mut self, now: Uptime, slot: RunSlot, listed: End) {
        if let Some(run) = self.runs.get_mut(slot)
            && let Phase::Stopping { end, .. } = &mut run.phase
        {
            *end = listed;
        } else {
            self.stop_run(now, slot, listed);
        }
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
            if percent.is_some() {
                run.listed = now;
            }
            run.is_confirmed |=
                percent.is_some() && sent > run.last_copy && run.copies.unresolved() == 0;
            match run.phase {
                Phase::Queued { .. } | Phase::Starting => {}
                Phase::Running => match percent {
                    Some(percent) if *percent > run.progress_percent => {
                        run.progress_percent = *percent;
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
            self.report_due = true;
        }
        for slot in stalled {
            self.stop_run(now, slot, End::Stalled);
        }
    }

    /// Handles a poll that was not answered with a snapshot.
    pub(super) fn on_unanswered_poll(&mut self, now: Uptime, answer: &Answer) {
        let since = *self.first_unanswered.get_or_insert(now);
        self.suspect_crash(now, since);
        if now.since(since) >= ENDPOINT_SILENCE_MS
            && self.health_tracker.health(now) != Health::Closed
        {
            log::warn!(answer:? = answer; "the endpoint does not answer; it gets no work and no lease");
            self.health_tracker.eject(now);
            self.report_due = true;
        }
    }

    /// Suspects a crash of an endpoint that has been silent since `since` for long enough.
    fn suspect_crash(&mut self, now: Uptime, since: Uptime) {
        if now.since(since) < ENDPOINT_SILENCE_MS {
            return;
        }
        if let Some(endpoint) = self.endpoint.as_ref().filter(|it| !it.is_leaving()) {
            self.crashes.suspect(now, since, &endpoint.instance, self.crashed_runs(since));
        }
    }

    /// Records that another instance has taken the endpoint's place, which is a crash unless it was
    /// leaving.
    pub(super) fn confirm_crash(&mut self, now: Uptime) {
        if let Some(endpoint) = self.endpoint.as_ref().filter(|it| !it.is_leaving()) {
            let since = self.first_unanswered.unwrap_or(now);
            self.crashes.confirm(now, &endpoint.instance, self.crashed_runs(since));
        }
    }

    /// Runs that the endpoint may have had when it stopped answering at `since`; those that are
    /// being stopped may have crashed it as well.
    fn crashed_runs(&self, since: Uptime) -> Vec<CrashedRun> {
        let may_have_run = |run: &Run| {
            run.phase.holds_resources() && run.copies.not_rejected() > 0 && run.started <= since
        };
        let crashed = |run: &Run| CrashedRun { key: run.key, age: since.since(run.started) };
        self.runs.iter().map(|it| it.1).filter(|it| may_have_run(it)).map(crashed).collect()
    }

    /// Whether no poll has been answered for [`ENDPOINT_SILENCE_MS`] since the first that failed or
    /// timed out.
    pub(super) fn is_silent(&self, now: Uptime) -> bool {
        self.first_unanswered.is_some_and(|since| now.since(since) >= ENDPOINT_SILENCE_MS)
    }

    /// Polls the endpoint if a poll is due; the interval depends on its runs and its last answers.
    pub(super) fn poll_endpoint(&mut self, now: Uptime) {
        let busy = self.runs.has_active();
        let renews = busy && self.may_renew(now) && self.first_unanswered.is_none();
        let silent = self.is_silent(now);
        let unanswered = self.first_unanswered.is_some();
        let Some(endpoint) = &mut self.endpoint else { return };
        if endpoint.restarted {
            return;
        }
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
        self.last_poll = now;
        let kind = CallKind::Hold { lease, acknowledged, wait };
        let overdue = self.poll.take().is_some();
        if overdue {
            self.on_unanswered_poll(now, &Answer::Unknown);
        }
        let purpose = Purpose::Poll { sent: now, acknowledged };
        let id = self.call_endpoint(purpose, kind);
        self.poll = id.map(|id| PendingPoll { id, sent: now, wait });
    }

    /// Once every lease sent to the endpoint has expired, ends all its runs if it is gone or
    /// silent, and else those whose stop is unconfirmed.
    pub(super) fn check_leases(&mut self, now: Uptime) {
        let Some(endpoint) = &self.endpoint else { return };
        if !endpoint.leases_expired(now) {
            return;
        }
        if !endpoint.gone && !self.is_silent(now) {
            let unconfirmed: Vec<_> = self
                .runs
                .iter()
                .filter(|(slot, _)| self.unconfirmed_stops.contains(slot))
                .filter_map(|(slot, run)| match run.phase {
                    Phase::Stopping { end, .. } => Some((slot, run.key, end)),
                    Phase::Queued { .. } | Phase::Starting | Phase::Running => None,
                })
                .collect();
            for (slot, key, end) in unconfirmed {
                log::warn!(run:% = key, end:? = end; "a run whose stop is not confirmed has ended with its lease");
                self.end_run(now, slot, end);
            }
            return;
        }
        let is_lost = |run: &Run| run.is_confirmed || !endpoint.may_have_successor_with_lease(now);
        let lost: HashSet<RunSlot> =
            self.runs.iter().filter(|(_, run)| is_lost(run)).map(|it| it.0).collect();
        if self.runs.has_active() && !lost.is_empty() {
            log::warn!(instance:% = endpoint.instance, runs = lost.len(); "all leases of an endpoint that has left or does not answer have expired; its runs are lost");
            self.end_runs_if(now, |slot| lost.contains(&slot));
        }
        if self.endpoint.as_ref().is_some_and(|it| it.gone)
            && !self.runs.has_active()
            && let Some(endpoint) = self.endpoint.take()
        {
            self.ended_instances.insert(endpoint.instance);
        }
    }
}
