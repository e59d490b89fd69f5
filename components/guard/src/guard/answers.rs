//! Answers of the endpoint to starts and stops.

use std::sync::Arc;

use mesh::{End, Refusal, RunKey, Uptime};

use super::{Guard, PendingCall, Purpose, STOP_RETRY_MS, UNCONFIRMED_STOP_RETRY_MS};
use crate::{
    call::{Answer, CallKind, Rejection},
    limits::{HEDGE_MS, MAX_NUMBER_RETRIES, MAX_START_TIMEOUTS, TOKEN_STEP_MS},
    runs::{Phase, Run, RunSlot},
};

impl Guard {
    pub(super) fn on_answer(&mut self, now: Uptime, id: u64, answer: Answer) {
        let Some(PendingCall { instance, purpose }) = self.pending.remove(&id) else { return };
        let is_current =
            self.endpoint.as_ref().is_some_and(|it| it.instance == instance && !it.restarted);
        match purpose {
            Purpose::Announced => self.on_announced_answer(now, instance, answer),
            Purpose::Poll { sent, acknowledged } => {
                let newest = self.poll.as_ref().is_some_and(|it| it.id == id);
                if newest {
                    self.poll = None;
                }
                // A superseded poll may still report ended runs, but its timeout does not mean
                // that the endpoint is silent.
                if is_current && (newest || matches!(answer, Answer::Seen(_))) {
                    self.on_poll_answer(now, sent, acknowledged, answer);
                }
            }
            // What an earlier instance answers says nothing about the present one.
            Purpose::Start { .. } | Purpose::Stop(_) | Purpose::StopOrphan if !is_current => {}
            Purpose::Start { slot, number } => self.on_start_answer(now, slot, number, answer),
            Purpose::Stop(slot) => self.on_stop_answer(now, slot, answer),
            Purpose::StopOrphan => self.on_any_answer(now, &answer),
        }
    }

    /// Handles what the answer to any call says about the endpoint itself.
    pub(super) fn on_any_answer(&mut self, now: Uptime, answer: &Answer) {
        match answer {
            Answer::Accepted { clock } => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.record_clock(now, *clock);
                }
            }
            Answer::Rejected(Rejection::Fence) => {
                // Doubling exceeds another agent's token within a few calls.
                let token = self.fencing_token;
                self.fencing_token =
                    token.saturating_add(TOKEN_STEP_MS).max(token.saturating_mul(2));
                log::warn!(token = self.fencing_token; "the endpoint has seen a higher fencing token; the agent's token is raised");
            }
            Answer::Rejected(Rejection::Instance) => {
                self.confirm_crash(now);
                if let Some(endpoint) = self.endpoint.take() {
                    log::info!(instance:% = endpoint.instance; "another instance has the endpoint's address");
                    self.ended_instances.insert(endpoint.instance);
                    self.end_lost_runs(now);
                }
            }
            Answer::Rejected(
                Rejection::Old
                | Rejection::Late
                | Rejection::Room
                | Rejection::Unhealthy
                | Rejection::Invalid,
            )
            | Answer::Seen(_)
            | Answer::Unsent
            | Answer::Unknown => {}
        }
    }

    pub(super) fn on_start_answer(
        &mut self,
        now: Uptime,
        slot: RunSlot,
        number: u32,
        answer: Answer,
    ) {
        self.on_any_answer(now, &answer);
        let Some(run) = self.runs.get_mut(slot) else { return };
        if run.number == number {
            run.copies.settle(&answer);
        }
        log_start_answer(run, number, &answer);
        if run.phase != Phase::Starting || run.number != number {
            return;
        }
        match answer {
            Answer::Accepted { .. } => {
                run.phase = Phase::Running;
                run.last_progress = now;
            }
            Answer::Rejected(Rejection::Fence) => self.send_start(now, slot),
            Answer::Rejected(Rejection::Old)
                if run.copies.unresolved() == 0 && run.number_retries < MAX_NUMBER_RETRIES =>
            {
                self.runs.raise_number(slot);
                self.send_start(now, slot);
            }
            Answer::Rejected(Rejection::Unhealthy) | Answer::Unsent => {
                self.health_tracker.eject(now);
                self.on_rejected_copy(now, slot);
            }
            Answer::Rejected(
                Rejection::Old
                | Rejection::Late
                | Rejection::Room
                | Rejection::Instance
                | Rejection::Invalid,
            ) => self.on_rejected_copy(now, slot),
            Answer::Unknown | Answer::Seen(_) if run.copies.rejected => {
                self.on_rejected_copy(now, slot);
            }
            Answer::Unknown | Answer::Seen(_) => {
                run.start_timeouts += 1;
                let stops =
                    run.start_timeouts >= MAX_START_TIMEOUTS || self.first_unanswered.is_some();
                log::warn!(
                    run:% = run.key, number = number, starts = run.start_timeouts, stops = stops;
                    "a start was not answered"
                );
                if stops {
                    self.stop_run(now, slot, End::Lost);
                } else {
                    // Starts are idempotent: a second copy has no effect.
                    self.send_start(now, slot);
                }
            }
        }
    }

    /// Refuses a run of which a copy of the start was rejected, once no other copy is in flight.
    fn on_rejected_copy(&mut self, now: Uptime, slot: RunSlot) {
        let Some(run) = self.runs.get_mut(slot) else { return };
        run.copies.rejected = true;
        if run.copies.in_flight == 0 {
            self.refuse(now, slot, Refusal::Endpoint);
        }
    }

    pub(super) fn on_stop_answer(&mut self, now: Uptime, slot: RunSlot, answer: Answer) {
        self.on_any_answer(now, &answer);
        let is_silent = self.is_silent(now);
        let Some(run) = self.runs.get_mut(slot) else {
            self.unconfirmed_stops.remove(&slot);
            return;
        };
        let Phase::Stopping { requested, end, .. } = run.phase else { return };
        match answer {
            Answer::Accepted { .. } => {
                run.phase = Phase::Stopping { requested, answered: Some(now), end };
                self.unconfirmed_stops.remove(&slot);
            }
            Answer::Unknown | Answer::Seen(_) => {
                // While the stop is unconfirmed no lease is renewed, so the run ends with its
                // lease even if no stop arrives.
                let is_first = self.unconfirmed_stops.insert(slot);
                // A call may fail as soon as it is sent, if the endpoint closes its connections.
                let is_due = is_first || now.since(requested) >= UNCONFIRMED_STOP_RETRY_MS;
                if is_due && !is_silent {
                    run.phase = Phase::Stopping { requested: now, answered: None, end };
                    self.send_stop(slot);
                }
            }
            Answer::Unsent | Answer::Rejected(_) => {
                run.phase = Phase::Stopping { requested: now, answered: None, end };
                self.unconfirmed_stops.insert(slot);
            }
        }
    }

    /// Sends a start, or refuses its run while nothing may be started.
    pub(super) fn send_start(&mut self, now: Uptime, slot: RunSlot) {
        if !self.may_start(now) {
            self.refuse(now, slot, Refusal::Closed);
            return;
        }
        let Some(run) = self.runs.get(slot) else { return };
        let key = RunKey { run: run.number, ..run.key };
        let spec = Arc::clone(&run.work.spec);
        let length = self.options.timing.lease;
        let lease = self.endpoint.as_mut().and_then(|it| it.grant_lease(now, length));
        match lease {
            Some(lease) => {
                if let Some(run) = self.runs.get_mut(slot) {
                    run.copies.send();
                    run.last_copy = now;
                    run.is_confirmed = false;
                }
                let purpose = Purpose::Start { slot, number: key.run };
                self.call_endpoint(purpose, CallKind::Start { key, spec, lease });
            }
            None => self.refuse(now, slot, Refusal::Closed),
        }
    }

    /// Sends a stop, unless it would reach a newer instance than that of the run.
    pub(super) fn send_stop(&mut self, slot: RunSlot) {
        if self.endpoint.as_ref().is_some_and(|it| it.restarted) {
            return;
        }
        let Some(run) = self.runs.get(slot) else { return };
        let key = RunKey { run: run.number, ..run.key };
        self.call_endpoint(Purpose::Stop(slot), CallKind::Stop { key });
    }

    /// Sends starts a second time that were not answered within [`HEDGE_MS`].
    ///
    /// The first copy may have been lost, and starts are idempotent.
    pub(super) fn hedge_starts(&mut self, now: Uptime) {
        if !self.may_start(now) {
            return;
        }
        let overdue = |run: &Run| {
            run.phase == Phase::Starting
                && run.start_timeouts == 0
                && now.since(run.started) >= HEDGE_MS
        };
        let slots: Vec<_> =
            self.runs.iter().filter(|(_, run)| overdue(run)).map(|it| it.0).collect();
        for slot in slots {
            if let Some(run) = self.runs.get_mut(slot) {
                run.start_timeouts += 1;
            }
            self.send_start(now, slot);
        }
    }

    /// Repeats stops whose runs have not ended.
    pub(super) fn retry_stops(&mut self, now: Uptime) {
        let again: Vec<_> = self
            .runs
            .iter()
            .filter_map(|(slot, run)| match run.phase {
                Phase::Stopping { requested, answered, .. } => {
                    let unconfirmed = self.unconfirmed_stops.contains(&slot);
                    let pause = if unconfirmed { UNCONFIRMED_STOP_RETRY_MS } else { STOP_RETRY_MS };
                    let last = answered.map_or(requested, |it| it.max(requested));
                    (now.since(last) >= pause).then_some(slot)
                }
                Phase::Queued { .. } | Phase::Starting | Phase::Running => None,
            })
            .collect();
        for slot in again {
            if let Some(run) = self.runs.get_mut(slot)
                && let Phase::Stopping { requested, .. } = &mut run.phase
            {
                *requested = now;
                if !self.is_silent(now) {
                    self.send_stop(slot);
                }
            }
        }
    }
}

/// Logs an answer to a copy of a start that leaves the run in doubt or rejects it.
fn log_start_answer(run: &Run, number: u32, answer: &Answer) {
    let copies = run.copies;
    match answer {
        Answer::Accepted { .. } if copies.sent == 1 => {}
        Answer::Accepted { .. } => log::info!(
            run:% = run.key, number = number, phase:? = run.phase, copies = copies.sent,
            in_flight = copies.in_flight, unanswered = copies.unanswered;
            "the endpoint accepted a copy of a start"
        ),
        Answer::Rejected(_) | Answer::Unsent => log::warn!(
            run:% = run.key, number = number, answer:? = answer, phase:? = run.phase,
            copies = copies.sent, in_flight = copies.in_flight, unanswered = copies.unanswered;
            "the endpoint rejected the start of a run"
        ),
        Answer::Seen(_) | Answer::Unknown => {}
    }
}
