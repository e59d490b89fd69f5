//! The agent's core.

use std::{
    collections::{HashMap, HashSet},
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use mesh::{
    Command, Datagram, End, EndpointInfo, EntryState, Frame, Health, Notice, Refusal, Report,
    RunKey, StartOrder, Uptime,
};

use crate::{
    call::{Answer, Call, CallKind, EndpointEnd, Look, Rejection},
    endpoint::Endpoint,
    entries::{Entries, Entry},
    health::Soundness,
    limits::{
        CLEAR_MS, ENTRY_SILENCE_MS, FORGET_ENTRY_MS, HEDGE_MS, MAX_RENUMBERED, MAX_STARTS, NEWS_MS,
        RENEW_MS, SILENT_MS, STALL_MS, SUSPENDED_MS, TOKEN_STEP, Timing,
    },
    runs::{Phase, Run, RunSlot, Runs, Work},
};

/// Time between two looks at an idle endpoint, in ms; keeps the reading of its clock fresh.
const IDLE_LOOK_MS: u64 = 1_000;
/// Time between two looks at an endpoint that does not answer, in ms.
const RETRY_LOOK_MS: u64 = 60;
/// Time that a stopped run may take to end, in ms; the endpoint's own limit is 50.
const STOP_TIME_MS: u64 = 60;
/// Time for which room is kept for the entry that it was offered to, in ms: a round trip
/// between availability zones and a tick.
const OFFER_MS: u64 = 3;
/// Factor and step of the linear congruence by which offers are dealt (Knuth's MMIX).
const TURN_FACTOR: u64 = 6_364_136_223_846_793_005;
const TURN_STEP: u64 = 1_442_695_040_888_963_407;
/// Time after which a stop is repeated whose effect has not been seen, in ms.
const STOP_SEEN_MS: u64 = 240;
/// Time after which a stopping agent stops what still runs, in ms; 6 s are given.
const STOP_RUNS_MS: u64 = 4_900;
/// Time after which a stopping agent ends whatever is left, in ms.
const STOP_LIMIT_MS: u64 = 5_500;

/// What an agent is started with.
#[derive(Debug, Clone)]
pub struct Options {
    /// Incarnation of this process.
    pub incarnation: u64,
    /// First fencing token; should be higher than those of earlier incarnations.
    pub token: u64,
    /// Time limits.
    pub timing: Timing,
}

/// State that an endpoint announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatState {
    /// It takes work.
    Ready,
    /// It is about to leave.
    Draining,
}

/// Heartbeat of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation.
    pub instance: Arc<str>,
    /// Address for calls.
    pub address: SocketAddr,
    /// State.
    pub state: HeartbeatState,
    /// Fixed properties.
    pub info: EndpointInfo,
}

/// What happens to an agent.
#[derive(Debug)]
pub enum Event {
    /// A heartbeat of the endpoint.
    Heartbeat(Heartbeat),
    /// The endpoint left.
    Left {
        /// Incarnation.
        instance: String,
    },
    /// A datagram of an entry.
    Frame {
        /// Entry.
        from: SocketAddrV4,
        /// Datagram.
        frame: Frame<Command, EntryState>,
    },
    /// The answer to a call.
    Answered {
        /// Number of the call.
        id: u64,
        /// Answer.
        answer: Answer,
    },
    /// Time passes.
    Tick,
    /// The process is to stop.
    Stop,
}

/// What an agent asks of its shell.
#[derive(Debug)]
pub enum Effect {
    /// Call the endpoint and report the answer.
    Call {
        /// Number of the call.
        id: u64,
        /// Call.
        call: Call,
    },
    /// Send a datagram.
    Send {
        /// Entry.
        to: SocketAddrV4,
        /// Datagram.
        datagram: Datagram,
    },
    /// Nothing is left to do before the process ends.
    Finished,
}

/// What a call was made for.
#[derive(Debug, Clone)]
enum Pending {
    Start(RunSlot),
    Stop(RunSlot),
    Clear,
    Hold { instance: Arc<str>, sent: Uptime, acknowledged: u64 },
    Candidate,
}

/// The newest look, which is not answered yet.
#[derive(Debug)]
struct PendingLook {
    id: u64,
    sent: Uptime,
    /// Time for which the endpoint may wait for an end, in ms.
    wait: u64,
}

/// Free room that is kept for an entry.
#[derive(Debug)]
struct Offer {
    to: SocketAddrV4,
    until: Uptime,
}

/// The agent's core.
#[derive(Debug)]
pub struct Guard {
    options: Options,
    token: u64,
    endpoint: Option<Endpoint>,
    candidate: Option<Endpoint>,
    asking: bool,
    ended: HashSet<Arc<str>>,
    soundness: Soundness,
    runs: Runs,
    entries: Entries,
    pending: HashMap<u64, Pending>,
    next_call: u64,
    hold: Option<PendingLook>,
    looked: Uptime,
    /// Since when looks have not been answered.
    unanswered: Option<Uptime>,
    /// Stops that were not answered at the first attempt.
    doubtful: HashSet<RunSlot>,
    news: bool,
    offer: Option<Offer>,
    /// State of the sequence by which offers are dealt.
    turn: u64,
    last: Uptime,
    stopping: Option<Uptime>,
    finished: bool,
    effects: Vec<Effect>,
}

impl Guard {
    /// An agent that knows no endpoint yet.
    pub fn new(now: Uptime, options: Options) -> Guard {
        Guard {
            token: options.token,
            options,
            endpoint: None,
            candidate: None,
            asking: false,
            ended: HashSet::new(),
            soundness: Soundness::new(now),
            runs: Runs::default(),
            entries: Entries::new(),
            pending: HashMap::new(),
            next_call: 0,
            hold: None,
            looked: Uptime::default(),
            unanswered: None,
            doubtful: HashSet::new(),
            news: false,
            offer: None,
            turn: 0,
            last: now,
            stopping: None,
            finished: false,
            effects: Vec::new(),
        }
    }

    /// Takes an event in and returns what is to be done.
    pub fn handle(&mut self, now: Uptime, event: Event) -> Vec<Effect> {
        self.note_time(now);
        match event {
            Event::Heartbeat(beat) => self.on_heartbeat(now, beat),
            Event::Left { instance } => self.on_left(&instance),
            Event::Frame { from, frame } => self.on_frame(now, from, frame),
            Event::Answered { id, answer } => self.on_answer(now, id, answer),
            Event::Tick => self.on_tick(now),
            Event::Stop => self.on_stop(now),
        }
        self.start_queued(now);
        self.look(now);
        self.send_frames(now);
        self.check_finished(now);
        std::mem::take(&mut self.effects)
    }

    /// Whether the agent has an endpoint that takes work.
    pub fn is_open(&self, now: Uptime) -> bool {
        self.health(now) != Health::Closed
    }

    /// Runs that take room on the endpoint.
    pub fn active(&self) -> usize {
        self.runs.iter().filter(|(_, run)| run.phase.takes_room()).count()
    }

    /// Drops orders that waited while the host was suspended.
    fn note_time(&mut self, now: Uptime) {
        let gap = now.since(self.last);
        self.last = now;
        if gap < SUSPENDED_MS {
            return;
        }
        log::warn!(gap_ms = gap; "the host was suspended; queued runs are refused");
        let queued: Vec<_> = self.runs.queued().collect();
        for slot in queued {
            self.refuse(now, slot, Refusal::Stale);
        }
    }

    fn on_heartbeat(&mut self, now: Uptime, beat: Heartbeat) {
        let draining = beat.state == HeartbeatState::Draining;
        if let Some(endpoint) = &mut self.endpoint
            && endpoint.instance == beat.instance
        {
            if draining && !endpoint.draining {
                log::info!(instance = &*beat.instance; "the endpoint drains: it is given no more work");
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
        self.ask_candidate(now);
    }

    /// Asks whether the endpoint that announced itself is the one at its address.
    fn ask_candidate(&mut self, _now: Uptime) {
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

    fn on_left(&mut self, instance: &str) {
        if let Some(endpoint) = &mut self.endpoint
            && *endpoint.instance == *instance
        {
            log::info!(instance = instance; "the endpoint has left");
            endpoint.gone = true;
            self.news = true;
        }
    }

    fn on_frame(&mut self, now: Uptime, from: SocketAddrV4, frame: Frame<Command, EntryState>) {
        let own = self.options.incarnation;
        let silence = self.options.timing.entry_silence;
        let entry = self.entries.entry(from).or_insert_with(|| {
            log::info!(entry:% = from; "an entry has appeared");
            Entry::new(own, now)
        });
        let state = frame.state;
        let accepted = entry.channel.accept(now, frame);
        entry.heard = now;
        if accepted.known {
            entry.echoed = entry.echoed.max(state.heard.min(now));
        }
        entry.probed |= state.probe;
        entry.waiting = state.waiting;
        if entry.silent && now.since(entry.echoed) < silence {
            log::info!(entry:% = from; "an entry is heard again");
            entry.silent = false;
        }
        if accepted.restarted {
            log::info!(entry:% = from; "an entry was started anew; its earlier runs are stopped");
            self.stop_runs_of(now, from);
        }
        for command in accepted.items {
            match command {
                Command::Start(order) => self.on_order(now, from, order),
                Command::Stop(keys) => {
                    for key in keys {
                        self.on_stop_order(now, from, key);
                    }
                }
            }
        }
    }

    fn on_order(&mut self, now: Uptime, entry: SocketAddrV4, order: StartOrder) {
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
                self.tell_refused(entry, key, refusal, age);
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
        let until = now + u64::from(order.patience);
        for key in order.runs {
            self.runs.queue(Run {
                entry,
                key,
                number: key.run,
                work: Arc::clone(&work),
                phase: Phase::Queued { until },
                started: now,
                percent: 0,
                progressed: now,
                renumbered: 0,
                starts: 0,
            });
        }
    }

    fn on_stop_order(&mut self, now: Uptime, entry: SocketAddrV4, key: RunKey) {
        if let Some(slot) = self.runs.by_key(entry, key) {
            self.stop_run(now, slot, End::Stopped);
        }
    }

    /// Stops a run, or refuses it if it has not started.
    fn stop_run(&mut self, now: Uptime, slot: RunSlot, end: End) {
        let Some(run) = self.runs.get_mut(slot) else { return };
        match run.phase {
            Phase::Queued { .. } => self.refuse(now, slot, Refusal::Stopped),
            Phase::Stopping { .. } => {}
            Phase::Starting | Phase::Running => {
                run.phase = Phase::Stopping { asked: now, answered: None, end };
                self.send_stop(slot);
            }
        }
    }

    fn send_stop(&mut self, slot: RunSlot) {
        let Some(run) = self.runs.get(slot) else { return };
        let key = RunKey { run: run.number, ..run.key };
        self.call_endpoint(Pending::Stop(slot), CallKind::Stop { key });
    }

    fn stop_runs_of(&mut self, now: Uptime, entry: SocketAddrV4) {
        let slots: Vec<_> =
            self.runs.iter().filter(|(_, run)| run.entry == entry).map(|it| it.0).collect();
        for slot in slots {
            self.stop_run(now, slot, End::Stopped);
        }
    }

    fn on_answer(&mut self, now: Uptime, id: u64, answer: Answer) {
        let Some(pending) = self.pending.remove(&id) else { return };
        match pending {
            Pending::Candidate => self.on_candidate(now, answer),
            Pending::Hold { instance, sent, acknowledged } => {
                let newest = self.hold.as_ref().is_some_and(|it| it.id == id);
                if newest {
                    self.hold = None;
                }
                let current = self.endpoint.as_ref().is_some_and(|it| it.instance == instance);
                // A look that was given up still shows ends, but proves no silence.
                if current && (newest || matches!(answer, Answer::Seen(_))) {
                    self.on_hold(now, sent, acknowledged, answer);
                }
            }
            Pending::Start(slot) => self.on_started(now, slot, answer),
            Pending::Stop(slot) => self.on_stopped(now, slot, answer),
            Pending::Clear => self.note_answer(now, &answer),
        }
    }

    /// Draws from any answer what it says of the endpoint as a whole.
    fn note_answer(&mut self, now: Uptime, answer: &Answer) {
        match answer {
            Answer::Accepted { clock } => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.read_clock(now, *clock);
                }
            }
            Answer::Rejected(Rejection::Fence) => {
                // Doubling reaches any token of another holder within a few calls.
                self.token = (self.token + TOKEN_STEP).max(self.token.saturating_mul(2));
                log::warn!(token = self.token; "a higher fencing token was used before; this one is raised");
            }
            Answer::Rejected(Rejection::Instance) => {
                if let Some(endpoint) = self.endpoint.take() {
                    log::info!(instance = &*endpoint.instance; "another instance has the endpoint's address");
                    self.ended.insert(endpoint.instance);
                    self.lose_runs(now);
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

    fn on_candidate(&mut self, now: Uptime, answer: Answer) {
        self.asking = false;
        match answer {
            Answer::Seen(look) => self.adopt_candidate(now, &look),
            Answer::Rejected(Rejection::Instance) => {
                if let Some(candidate) = self.candidate.take() {
                    log::warn!(instance = &*candidate.instance; "a heartbeat named an instance that is not there");
                    self.ended.insert(candidate.instance);
                }
            }
            Answer::Accepted { .. } | Answer::Rejected(_) | Answer::Unsent | Answer::Unknown => {
                self.note_answer(now, &answer);
            }
        }
    }

    fn adopt_candidate(&mut self, now: Uptime, look: &Look) {
        let Some(mut candidate) = self.candidate.take() else { return };
        if let Some(old) = &mut self.endpoint
            && old.address != candidate.address
            && !old.lapsed(now)
            && !self.runs.is_empty()
        {
            // Runs of the old instance end with their lease; the next heartbeat asks again.
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

    /// Stops what an earlier agent has started; only then is the endpoint given work.
    fn clear(&mut self, look: &Look) {
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

    fn on_hold(&mut self, now: Uptime, sent: Uptime, acknowledged: u64, answer: Answer) {
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

    fn on_look(&mut self, now: Uptime, sent: Uptime, acknowledged: u64, look: &Look) {
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

    fn on_end(&mut self, now: Uptime, slot: RunSlot, how: EndpointEnd) {
        let Some(run) = self.runs.get(slot) else { return };
        let (job, took) = (run.key.job, now.since(run.started));
        let end = match how {
            EndpointEnd::Done => {
                if self.soundness.done(now, took, run.work.expected.into()) {
                    log::info!("the endpoint has done a task and takes work again");
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

    /// Finds runs that are gone and runs that make no progress.
    fn note_progress(&mut self, now: Uptime, sent: Uptime, look: &Look) {
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
            log::warn!(runs = stalled.len(); "runs make no progress; the endpoint gets no work for now");
            self.soundness.close(now);
            self.news = true;
        }
        for slot in stalled {
            self.stop_run(now, slot, End::Stalled);
        }
    }

    fn on_started(&mut self, now: Uptime, slot: RunSlot, answer: Answer) {
        self.note_answer(now, &answer);
        let Some(run) = self.runs.get_mut(slot) else { return };
        if run.phase != Phase::Starting {
            return;
        }
        match answer {
            Answer::Accepted { .. } => {
                run.phase = Phase::Running;
                run.progressed = now;
            }
            Answer::Rejected(Rejection::Old) if run.renumbered < MAX_RENUMBERED => {
                self.runs.renumber(slot);
                self.send_start(now, slot);
            }
            Answer::Rejected(Rejection::Fence) => self.send_start(now, slot),
            Answer::Rejected(Rejection::Unhealthy) | Answer::Unsent => {
                self.soundness.close(now);
                self.refuse(now, slot, Refusal::Endpoint);
            }
            Answer::Rejected(
                Rejection::Old
                | Rejection::Late
                | Rejection::Room
                | Rejection::Instance
                | Rejection::Invalid,
            ) => {
                log::warn!(run:% = run.key, answer:? = answer; "the endpoint did not start a run");
                self.refuse(now, slot, Refusal::Endpoint);
            }
            Answer::Unknown | Answer::Seen(_) => {
                run.starts += 1;
                let stops = run.starts >= MAX_STARTS || self.unanswered.is_some();
                log::warn!(run:% = run.key, starts = run.starts, stops = stops; "a start was not answered");
                if stops {
                    self.stop_run(now, slot, End::Lost);
                } else {
                    // A second copy of a run that is there changes nothing.
                    self.send_start(now, slot);
                }
            }
        }
    }

    fn on_stopped(&mut self, now: Uptime, slot: RunSlot, answer: Answer) {
        self.note_answer(now, &answer);
        let Some(run) = self.runs.get_mut(slot) else {
            self.doubtful.remove(&slot);
            return;
        };
        let Phase::Stopping { asked, end, .. } = run.phase else { return };
        match answer {
            Answer::Accepted { .. } => {
                run.phase = Phase::Stopping { asked, answered: Some(now), end };
                self.doubtful.remove(&slot);
            }
            Answer::Unknown | Answer::Seen(_) => {
                // Without renewal the lease ends the run, should no stop arrive.
                self.doubtful.insert(slot);
                if !self.is_silent(now) {
                    self.send_stop(slot);
                }
            }
            Answer::Unsent | Answer::Rejected(_) => {
                run.phase = Phase::Stopping { asked: now, answered: None, end };
                self.doubtful.insert(slot);
            }
        }
    }

    fn on_tick(&mut self, now: Uptime) {
        self.soundness.tick(now);
        self.runs.forget(now);
        let silence = self.options.timing.entry_silence;
        let silent: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.silent && now.since(entry.echoed) >= silence)
            .map(|(address, entry)| (*address, now.since(entry.echoed)))
            .collect();
        for (address, silence) in silent {
            log::warn!(entry:% = address, silence_ms = silence; "an entry is silent; its runs are stopped");
            if let Some(entry) = self.entries.get_mut(&address) {
                entry.silent = true;
                entry.waiting = 0;
            }
            self.stop_runs_of(now, address);
        }
        self.entries.retain(|_, entry| now.since(entry.heard) < FORGET_ENTRY_MS);
        self.refuse_impatient(now);
        self.start_again(now);
        self.stop_again(now);
        self.check_lapsed(now);
        self.ask_candidate(now);
        if let Some(since) = self.stopping
            && now.since(since) >= STOP_RUNS_MS
        {
            let slots: Vec<_> = self.runs.iter().map(|it| it.0).collect();
            for slot in slots {
                self.stop_run(now, slot, End::Stopped);
            }
        }
    }

    /// Refuses queued runs for which there was no room in time.
    fn refuse_impatient(&mut self, now: Uptime) {
        let closed = self.health(now) == Health::Closed;
        let queued: Vec<_> = self.runs.queued().collect();
        for slot in queued {
            let Some(Phase::Queued { until }) = self.runs.get(slot).map(|it| it.phase) else {
                continue;
            };
            if closed {
                self.refuse(now, slot, Refusal::Closed);
            } else if until <= now {
                self.refuse(now, slot, Refusal::Room);
            }
        }
    }

    /// Sends starts a second time that were not answered soon.
    ///
    /// A second copy of a run that is there changes nothing, and one of the two may have
    /// been lost.
    fn start_again(&mut self, now: Uptime) {
        let overdue = |run: &Run| {
            run.phase == Phase::Starting && run.starts == 0 && now.since(run.started) >= HEDGE_MS
        };
        let slots: Vec<_> =
            self.runs.iter().filter(|(_, run)| overdue(run)).map(|it| it.0).collect();
        for slot in slots {
            if let Some(run) = self.runs.get_mut(slot) {
                run.starts += 1;
            }
            self.send_start(now, slot);
        }
    }

    /// Repeats stops whose effect has not been seen.
    fn stop_again(&mut self, now: Uptime) {
        let again: Vec<_> = self
            .runs
            .iter()
            .filter_map(|(slot, run)| match run.phase {
                Phase::Stopping { asked, answered, .. } => {
                    let doubtful = self.doubtful.contains(&slot);
                    let pause = if doubtful { STOP_TIME_MS } else { STOP_SEEN_MS };
                    let last = answered.unwrap_or(asked);
                    (now.since(last) >= pause).then_some(slot)
                }
                Phase::Queued { .. } | Phase::Starting | Phase::Running => None,
            })
            .collect();
        for slot in again {
            if let Some(run) = self.runs.get_mut(slot)
                && let Phase::Stopping { asked, .. } = &mut run.phase
            {
                *asked = now;
                if !self.is_silent(now) {
                    self.send_stop(slot);
                }
            }
        }
    }

    /// Takes the runs of an endpoint whose leases have all ended for lost.
    fn check_lapsed(&mut self, now: Uptime) {
        let Some(endpoint) = &self.endpoint else { return };
        if !endpoint.lapsed(now) || !(endpoint.gone || self.is_silent(now)) {
            return;
        }
        if self.runs.any_active() {
            log::warn!(instance = &*endpoint.instance; "the leases of an endpoint that does not answer have ended");
            self.lose_runs(now);
        }
        if self.endpoint.as_ref().is_some_and(|it| it.gone)
            && let Some(endpoint) = self.endpoint.take()
        {
            self.ended.insert(endpoint.instance);
        }
    }

    fn on_stop(&mut self, now: Uptime) {
        self.stopping = Some(now);
        self.news = true;
        log::info!(active = self.active(); "the agent stops after its runs");
        self.refuse_impatient(now);
    }

    /// Ends every run: none of them can go on.
    fn lose_runs(&mut self, now: Uptime) {
        let slots: Vec<_> = self.runs.iter().map(|it| it.0).collect();
        for slot in slots {
            match self.runs.get(slot).map(|it| it.phase) {
                Some(Phase::Queued { .. }) => self.refuse(now, slot, Refusal::Closed),
                Some(Phase::Stopping { end, .. }) => self.end_run(now, slot, end),
                Some(Phase::Starting | Phase::Running) => self.end_run(now, slot, End::Lost),
                None => {}
            }
        }
    }

    fn refuse(&mut self, now: Uptime, slot: RunSlot, refusal: Refusal) {
        if let Some(run) = self.runs.remove(now, slot) {
            self.news = true;
            self.tell_refused(run.entry, run.key, refusal, now.since(run.started));
        }
    }

    fn tell_refused(&mut self, entry: SocketAddrV4, key: RunKey, refusal: Refusal, age: u64) {
        log::info!(run:% = key, entry:% = entry, refusal:? = refusal, age_ms = age; "a run is refused");
        if let Some(entry) = self.entries.get_mut(&entry) {
            entry.channel.push(Notice::Refused { key, refusal });
        }
    }

    fn end_run(&mut self, now: Uptime, slot: RunSlot, end: End) {
        self.doubtful.remove(&slot);
        let Some(run) = self.runs.remove(now, slot) else { return };
        self.news = true;
        let took = now.since(run.started);
        log::info!(
            run:% = run.key, entry:% = run.entry, end:? = end, took_ms = took,
            expected_ms = run.work.expected, percent = run.percent;
            "a run has ended"
        );
        if let Some(entry) = self.entries.get_mut(&run.entry) {
            let took = u32::try_from(took).unwrap_or(u32::MAX);
            entry.channel.push(Notice::Ended { key: run.key, end, took });
        }
    }

    fn health(&self, now: Uptime) -> Health {
        let takes_work = self.endpoint.as_ref().is_some_and(Endpoint::takes_work);
        if !takes_work || self.is_silent(now) || self.stopping.is_some() {
            return Health::Closed;
        }
        match self.soundness.health(now) {
            Health::Trial if self.runs.any_active() => Health::Closed,
            health => health,
        }
    }

    /// A look has not been answered.
    fn on_silence(&mut self, now: Uptime, answer: &Answer) {
        let since = *self.unanswered.get_or_insert(now);
        if now.since(since) >= SILENT_MS && self.soundness.health(now) != Health::Closed {
            log::warn!(answer:? = answer; "the endpoint does not answer; it gets no work and no lease");
            self.soundness.close(now);
            self.news = true;
        }
    }

    /// Whether the endpoint has stopped answering.
    fn is_silent(&self, now: Uptime) -> bool {
        self.unanswered.is_some_and(|since| now.since(since) >= SILENT_MS)
    }

    /// Whether runs may be started, each of which prolongs the lease of all.
    fn may_start(&self, now: Uptime) -> bool {
        let gone = self.endpoint.as_ref().is_none_or(|it| it.gone);
        !gone && !self.is_silent(now) && self.doubtful.is_empty()
    }

    /// Starts queued runs for which there is room.
    fn start_queued(&mut self, now: Uptime) {
        if !self.may_start(now) || self.stopping.is_some() {
            return;
        }
        let queued: Vec<_> = self.runs.queued().collect();
        for slot in queued {
            let Some(endpoint) = &self.endpoint else { return };
            let free = self.runs.free(&endpoint.info);
            let Some(run) = self.runs.get(slot) else { continue };
            let trial = self.soundness.health(now) != Health::Open;
            if !endpoint.takes_work() || trial && self.runs.any_active() {
                return;
            }
            if !free.fits(&run.work) {
                continue;
            }
            log::info!(
                run:% = run.key, entry:% = run.entry, free_cpu = free.cpu, cpu = run.work.cpu,
                waited_ms = now.since(run.started);
                "a run starts"
            );
            self.runs.start(now, slot);
            self.news = true;
            self.send_start(now, slot);
        }
    }

    fn send_start(&mut self, now: Uptime, slot: RunSlot) {
        let Some(run) = self.runs.get(slot) else { return };
        let key = RunKey { run: run.number, ..run.key };
        let spec = Arc::clone(&run.work.spec);
        let length = self.options.timing.lease;
        let lease = self.endpoint.as_mut().and_then(|it| it.grant(now, length));
        match lease {
            Some(lease) => {
                self.call_endpoint(Pending::Start(slot), CallKind::Start { key, spec, lease });
            }
            None => self.refuse(now, slot, Refusal::Closed),
        }
    }

    /// Looks at the endpoint as often as its runs need.
    fn look(&mut self, now: Uptime) {
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

    fn call_endpoint(&mut self, pending: Pending, kind: CallKind) -> Option<u64> {
        let endpoint = self.endpoint.as_ref()?;
        let call = Call {
            instance: Arc::clone(&endpoint.instance),
            address: endpoint.address,
            token: self.token,
            kind,
        };
        Some(self.call(pending, call))
    }

    fn call(&mut self, pending: Pending, call: Call) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        self.pending.insert(id, pending);
        self.effects.push(Effect::Call { id, call });
        id
    }

    fn report(&self, now: Uptime) -> Report {
        let info = self.endpoint.as_ref().map(|it| it.info.clone());
        let mut free = info.as_ref().map(|it| self.runs.free(it)).unwrap_or_default();
        for slot in self.runs.queued() {
            if let Some(run) = self.runs.get(slot) {
                free.cpu = free.cpu.saturating_sub(run.work.cpu);
                free.memory = free.memory.saturating_sub(run.work.memory);
                free.gpus = free.gpus.saturating_sub(run.work.gpus);
            }
        }
        Report {
            now,
            endpoint: info,
            health: self.health(now),
            cpu: free.cpu,
            memory: free.memory,
            gpus: free.gpus,
            slowness: u32::try_from(self.soundness.slowness()).unwrap_or(u32::MAX),
            waiting: 0,
        }
    }

    /// Offers free room to one of several entries whose jobs wait for it.
    ///
    /// If all heard of it, all would order at once, and most would be refused.
    fn offer_room(&mut self, now: Uptime) {
        let waiting: Vec<_> = self.entries.iter().filter(|(_, it)| it.waiting > 0).collect();
        if waiting.len() < 2 {
            self.offer = None;
            return;
        }
        if self.offer.as_ref().is_some_and(|it| now < it.until) {
            return;
        }
        let total: u64 = waiting.iter().map(|(_, it)| u64::from(it.waiting)).sum();
        // Entries take turns, each as often as its share of the work that waits.
        self.turn = self.turn.wrapping_mul(TURN_FACTOR).wrapping_add(TURN_STEP);
        let mut drawn = (self.turn >> 33) % total;
        let to = waiting.iter().find(|(_, it)| {
            let hit = drawn < u64::from(it.waiting);
            drawn = drawn.saturating_sub(it.waiting.into());
            hit
        });
        self.offer = to.map(|(address, _)| Offer { to: **address, until: now + OFFER_MS });
        self.news = true;
    }

    fn send_frames(&mut self, now: Uptime) {
        self.offer_room(now);
        let mut report = None;
        let mut all_told = true;
        let mut entries = std::mem::take(&mut self.entries);
        let all_waiting: u32 = entries.values().map(|it| it.waiting).sum();
        let offered = self.offer.as_ref().map(|it| it.to);
        for (address, entry) in &mut entries {
            if now.since(entry.heard) >= ENTRY_SILENCE_MS {
                continue;
            }
            let news = self.news && entry.waiting > 0 && offered.is_none_or(|it| it == *address);
            let told = now.since(entry.reported) >= NEWS_MS;
            all_told &= !news || told;
            if !(entry.probed || entry.channel.is_due(now) || news && told) {
                continue;
            }
            entry.probed = false;
            entry.reported = now;
            let report = report.get_or_insert_with(|| self.report(now));
            let mut report = report.clone();
            report.waiting = all_waiting - entry.waiting;
            if offered.is_some_and(|it| it != *address) {
                report.cpu = 0;
            }
            let frame = entry.channel.frame(now, report);
            self.effects.push(Effect::Send { to: *address, datagram: Datagram::Agent(frame) });
        }
        self.entries = entries;
        self.news &= !all_told;
    }

    fn check_finished(&mut self, now: Uptime) {
        let Some(since) = self.stopping else { return };
        let told =
            self.entries.values().all(|it| it.silent || it.channel.pending().next().is_none());
        let acknowledged = self.endpoint.as_ref().is_none_or(|it| it.told >= it.acknowledged);
        let done = self.runs.is_empty() && told && acknowledged;
        if !self.finished && (done || now.since(since) >= STOP_LIMIT_MS) {
            self.finished = true;
            self.effects.push(Effect::Finished);
        }
    }
}
