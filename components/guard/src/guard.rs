//! The agent's core: its state, and how an event passes through it.

mod answers;
mod looks;
mod orders;

use std::{
    collections::{HashMap, HashSet},
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use mesh::{Command, Datagram, End, EndpointInfo, EntryState, Frame, Health, Refusal, Uptime};

use crate::{
    call::{Answer, Call, CallKind},
    endpoint::Endpoint,
    entries::Entries,
    health::Soundness,
    limits::{FORGET_ENTRY_MS, SUSPENDED_MS, Timing},
    runs::{Phase, RunSlot, Runs},
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
            Event::Heartbeat(beat) => self.on_heartbeat(beat),
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
        self.ask_candidate();
        if let Some(since) = self.stopping
            && now.since(since) >= STOP_RUNS_MS
        {
            let slots: Vec<_> = self.runs.iter().map(|it| it.0).collect();
            for slot in slots {
                self.stop_run(now, slot, End::Stopped);
            }
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
