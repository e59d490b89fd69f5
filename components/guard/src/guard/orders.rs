//! Orders from entries, and the notices and reports sent to them.

use std::{net::SocketAddrV4, sync::Arc};

use mesh::{
    Command, CrashesSeen, Datagram, End, EntryState, Frame, Health, Notice, Refusal, RunKey,
    StartOrder, Uptime,
};

use super::{Effect, Guard, LCG_INCREMENT, LCG_MULTIPLIER, OFFER_MS, Offer, ZoneState};
use crate::{
    crashes::Confirmation,
    entries::Entry,
    grants::Reserved,
    limits::{MAX_ENTRIES, MAX_RUN_NUMBER, REPORT_INTERVAL_MS},
    runs::{Copies, Phase, Run, RunSlot, Work},
};

impl Guard {
    pub(super) fn on_frame(
        &mut self,
        now: Uptime,
        from: SocketAddrV4,
        frame: Frame<Command, EntryState>,
    ) {
        let silence = self.options.timing.entry_silence;
        if !self.entries.contains_key(&from)
            && self.entries.len() >= MAX_ENTRIES
            && !self.remove_silent_entry()
        {
            log::warn!(entry:% = from, known = self.entries.len(); "ignoring an entry: too many are known");
            return;
        }
        let entry = self.entries.entry(from).or_insert_with(|| {
            log::info!(entry:% = from; "an entry has appeared");
            // An entry that this agent has forgotten still has its end of the channel. The new
            // incarnation makes it start over.
            self.channels_created += 1;
            Entry::new(self.options.incarnation.wrapping_add(self.channels_created), now)
        });
        let state = frame.state;
        let accepted = entry.channel.accept(now, frame);
        entry.last_received = now;
        if accepted.known {
            entry.last_acknowledged = entry.last_acknowledged.max(state.heard.min(now));
        }
        entry.probed |= state.probe;
        entry.waiting = state.waiting;
        if entry.timed_out && now.since(entry.last_acknowledged) < silence {
            log::info!(entry:% = from; "an entry is heard again");
            entry.timed_out = false;
        }
        if accepted.restarted {
            log::info!(entry:% = from; "an entry has restarted; its earlier runs are stopped");
            self.channels_created += 1;
            let session = self.options.incarnation.wrapping_add(self.channels_created);
            entry.crashes_seen = Confirmation::new(session);
            self.stop_runs_of(now, from);
        }
        for command in accepted.items {
            match command {
                Command::Start(order) => {
                    if let Some(entry) = self.entries.get_mut(&from) {
                        entry.unused_offers = 0;
                    }
                    self.on_order(now, from, order);
                }
                Command::Stop(keys) => {
                    for key in keys {
                        self.on_stop_order(now, from, key);
                    }
                }
            }
        }
    }

    /// Removes the entry that was heard the longest ago of those that have timed out, whose runs are
    /// stopped; returns whether there is one.
    fn remove_silent_entry(&mut self) -> bool {
        let silent = self.entries.iter().filter(|(_, it)| it.timed_out);
        let oldest = silent.min_by_key(|(_, it)| it.last_received).map(|(address, _)| *address);
        oldest.is_some_and(|address| self.entries.remove(&address).is_some())
    }

    pub(super) fn on_order(&mut self, now: Uptime, entry: SocketAddrV4, order: StartOrder) {
        let age = now.since(order.decided);
        let refusal = if age > self.options.timing.order_age {
            Some(Refusal::Stale)
        } else if self.health(now) == Health::Closed {
            Some(Refusal::Closed)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            for key in order.runs {
                self.notify_refused(entry, key, refusal, age);
            }
            return;
        }
        let work = Arc::new(Work {
            spec: order.spec.into(),
            cpu: order.cpu,
            memory: order.memory,
            gpus: order.gpus,
            expected: order.expected,
        });
        if let Some(entry) = self.entries.get_mut(&entry) {
            let runs = u32::try_from(order.runs.len()).unwrap_or(u32::MAX);
            entry.grant.take(order.cpu.saturating_mul(runs));
        }
        let refuse_at = now + u64::from(order.max_wait);
        for key in order.runs {
            if key.run > MAX_RUN_NUMBER {
                self.notify_refused(entry, key, Refusal::Endpoint, age);
                continue;
            }
            self.runs.enqueue(Run {
                entry,
                key,
                number: key.run,
                work: Arc::clone(&work),
                phase: Phase::Queued { refuse_at },
                started: now,
                progress_percent: 0,
                listed: now,
                last_progress: now,
                number_retries: 0,
                start_timeouts: 0,
                last_copy: now,
                is_confirmed: false,
                copies: Copies::default(),
            });
        }
    }

    pub(super) fn on_stop_order(&mut self, now: Uptime, entry: SocketAddrV4, key: RunKey) {
        if let Some(slot) = self.runs.by_entry_key(entry, key) {
            self.stop_run(now, slot, End::Stopped);
        }
    }

    /// Stops a run, or refuses it if it is still queued.
    pub(super) fn stop_run(&mut self, now: Uptime, slot: RunSlot, end: End) {
        let Some(run) = self.runs.get_mut(slot) else { return };
        match run.phase {
            Phase::Queued { .. } => self.refuse(now, slot, Refusal::Stopped),
            Phase::Stopping { .. } => {}
            Phase::Starting | Phase::Running => {
                run.phase = Phase::Stopping { requested: now, answered: None, end };
                self.send_stop(slot);
            }
        }
    }

    pub(super) fn stop_runs_of(&mut self, now: Uptime, entry: SocketAddrV4) {
        let slots: Vec<_> =
            self.runs.iter().filter(|(_, run)| run.entry == entry).map(|it| it.0).collect();
        for slot in slots {
            self.stop_run(now, slot, End::Stopped);
        }
    }

    /// Refuses queued runs whose wait has expired, or all of them while the agent takes no
    /// work.
    pub(super) fn refuse_expired(&mut self, now: Uptime) {
        let closed = self.health(now) == Health::Closed;
        let queued: Vec<_> = self.runs.queued().collect();
        for slot in queued {
            let Some(Phase::Queued { refuse_at }) = self.runs.get(slot).map(|it| it.phase) else {
                continue;
            };
            if closed {
                self.refuse(now, slot, Refusal::Closed);
            } else if refuse_at <= now {
                self.refuse(now, slot, Refusal::Room);
            }
        }
    }

    /// Refuses a run that has not started; one that may have started is stopped.
    ///
    /// After a stop the endpoint rejects every copy of the start that is still on its way.
    pub(super) fn refuse(&mut self, now: Uptime, slot: RunSlot, refusal: Refusal) {
        let Some(run) = self.runs.get(slot) else { return };
        if run.copies.unresolved() > 0 {
            log::warn!(
                run:% = run.key, number = run.number, refusal:? = refusal,
                in_flight = run.copies.in_flight, unanswered = run.copies.unanswered;
                "a run that may have started is stopped in place of a refusal"
            );
            self.doubtful_runs += 1;
            self.stop_run(now, slot, End::Lost);
            return;
        }
        if let Some(run) = self.runs.remove(now, slot) {
            self.report_due = true;
            self.notify_refused(run.entry, run.key, refusal, now.since(run.started));
        }
    }

    pub(super) fn notify_refused(
        &mut self,
        entry: SocketAddrV4,
        key: RunKey,
        refusal: Refusal,
        age: u64,
    ) {
        log::info!(run:% = key, entry:% = entry, refusal:? = refusal, age_ms = age; "a run is refused");
        if refusal == Refusal::Closed && self.zone == ZoneState::Evacuated {
            self.evacuation_refusals += 1;
        }
        if let Some(entry) = self.entries.get_mut(&entry) {
            entry.channel.push(Notice::Refused { key, refusal });
        }
    }

    pub(super) fn end_run(&mut self, now: Uptime, slot: RunSlot, end: End) {
        self.unconfirmed_stops.remove(&slot);
        let Some(run) = self.runs.remove(now, slot) else { return };
        self.report_due = true;
        let took = now.since(run.started);
        log::info!(
            run:% = run.key, entry:% = run.entry, end:? = end, took_ms = took,
            expected_ms = run.work.expected, percent = run.progress_percent, number = run.number,
            copies = run.copies.sent, unanswered = run.copies.unanswered;
            "a run has ended"
        );
        if let Some(entry) = self.entries.get_mut(&run.entry) {
            let took = u32::try_from(took).unwrap_or(u32::MAX);
            entry.channel.push(Notice::Ended { key: run.key, end, took });
        }
    }

    /// Offers the free resources to one of several entries whose jobs wait for them.
    ///
    /// If all learnt of them, all would order at once, and most orders would be refused.
    pub(super) fn offer_resources(&mut self, now: Uptime) {
        let waiting: Vec<_> = self.entries.iter().filter(|(_, it)| it.waiting > 0).collect();
        if waiting.len() < 2 {
            self.offer = None;
            return;
        }
        let waits = |to| self.entries.get(to).is_some_and(|it| it.waiting > 0);
        if self.offer.as_ref().is_some_and(|it| now < it.until && waits(&it.to)) {
            return;
        }
        let total: u64 = waiting.iter().map(|(_, it)| it.offer_weight()).sum();
        // Picks entries pseudo-randomly, in proportion to their shares of the waiting work.
        self.lcg_state = self.lcg_state.wrapping_mul(LCG_MULTIPLIER).wrapping_add(LCG_INCREMENT);
        let mut drawn = (self.lcg_state >> 33) % total;
        let to = waiting.iter().find(|(_, it)| {
            let hit = drawn < it.offer_weight();
            drawn = drawn.saturating_sub(it.offer_weight());
            hit
        });
        let to = to.map(|(address, _)| **address);
        if let Some(entry) = to.and_then(|it| self.entries.get_mut(&it)) {
            // Until it orders.
            entry.unused_offers = entry.unused_offers.saturating_add(1);
        }
        self.offer = to.map(|to| Offer { to, until: now + OFFER_MS });
        self.report_due = true;
    }

    pub(super) fn on_crashes_seen(&mut self, from: SocketAddrV4, seen: CrashesSeen) {
        if seen.incarnation == self.options.incarnation
            && let Some(entry) = self.entries.get_mut(&from)
        {
            entry.crashes_seen.confirm(seen.session, seen.revision);
        }
    }

    /// Reports crashes to the entries that have not confirmed them.
    ///
    /// They go out before the frames, so that an entry knows of a crash when it learns that its runs
    /// are lost.
    pub(super) fn report_crashes(&mut self, now: Uptime) {
        for (address, entry) in &mut self.entries {
            let due = self.crashes.due(now, self.options.incarnation, &mut entry.crashes_seen);
            if let Some(crashes) = due {
                let datagram = Datagram::Crashes(crashes);
                self.effects.push(Effect::Send { to: *address, datagram });
            }
        }
    }

    pub(super) fn send_frames(&mut self, now: Uptime) {
        self.offer_resources(now);
        let silence = self.options.timing.entry_silence;
        let upcoming = self.upcoming_room(now);
        self.report_due |= upcoming.cpu > self.upcoming.cpu;
        self.upcoming = upcoming;
        let mut report = None;
        let mut reserved = Reserved::new(now, self.entries.values().map(|it| &it.grant));
        let mut all_reported = true;
        let mut entries = std::mem::take(&mut self.entries);
        let all_waiting: u64 = entries.values().map(|it| u64::from(it.waiting)).sum();
        let offered = self.offer.as_ref().map(|it| it.to);
        for (address, entry) in &mut entries {
            if now.since(entry.last_received) >= silence {
                continue;
            }
            let wants_report =
                self.report_due && entry.waiting > 0 && offered.is_none_or(|it| it == *address);
            let due = now.since(entry.last_report) >= REPORT_INTERVAL_MS;
            all_reported &= !wants_report || due;
            if !(entry.probed || entry.channel.is_due(now) || wants_report && due) {
                continue;
            }
            entry.probed = false;
            entry.last_report = now;
            let report = report.get_or_insert_with(|| self.report(now));
            let mut report = report.clone();
            if entry.waiting > 0 {
                (report.cpu, report.memory, report.gpus) =
                    (upcoming.cpu, upcoming.memory, upcoming.gpus);
            }
            let others_waiting = all_waiting - u64::from(entry.waiting);
            report.waiting = u32::try_from(others_waiting).unwrap_or(u32::MAX);
            if offered.is_some_and(|it| it != *address) {
                report.cpu = 0;
            }
            report.cpu = reserved.grant(now, &mut entry.grant, entry.waiting > 0, report.cpu);
            let frame = entry.channel.frame(now, report);
            self.effects.push(Effect::Send { to: *address, datagram: Datagram::Agent(frame) });
        }
        self.entries = entries;
        self.report_due &= !all_reported;
    }
}
