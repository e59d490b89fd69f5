//! State of the agent and its handling of events.

mod answers;
mod orders;
mod polls;
mod removal;
mod room;

use std::{
    collections::{HashMap, HashSet},
    net::{SocketAddr, SocketAddrV4},
};

use mesh::{
    Command, CrashesSeen, Datagram, End, EndpointInfo, EntryState, Frame, Health, Refusal, Uptime,
};

use crate::{
    call::{Answer, Call, CallKind},
    crashes::Crashes,
    endpoint::Endpoint,
    entries::Entries,
    health::HealthTracker,
    instance::{EndedInstances, Instance},
    limits::{ENTRY_EXPIRY_MS, MAX_PENDING_STARTS, SUSPENDED_MS, Timing},
    runs::{Phase, Resources, RunSlot, Runs},
};

/// Interval between two polls of an idle endpoint, in ms; keeps the reading of its clock fresh.
const IDLE_POLL_MS: u64 = 1_000;
/// Interval between two polls of an endpoint that has not answered for `ENDPOINT_SILENCE_MS`,
/// in ms.
const RETRY_POLL_MS: u64 = 60;
/// Time after which an unconfirmed stop is sent again, in ms; the endpoint takes at most 50 ms
/// to stop a run.
const UNCONFIRMED_STOP_RETRY_MS: u64 = 60;
/// Time for which resources are reserved for the entry to which they were offered, in ms;
/// covers a round trip between availability zones, but is shorter than a tick (10 ms).
const OFFER_MS: u64 = 3;
/// Multiplier of the linear congruential generator that picks entries for offers; with
/// [`LCG_INCREMENT`] the parameters of Knuth's MMIX. Its fixed seed keeps the core deterministic.
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
/// Increment of the linear congruential generator.
const LCG_INCREMENT: u64 = 1_442_695_040_888_963_407;
/// Time after which a stop that is confirmed or in flight is sent again if its run has not
/// ended, in ms.
const STOP_RETRY_MS: u64 = 240;
/// Time into the shutdown after which remaining runs are stopped, in ms; the process has 6 s
/// to exit.
const SHUTDOWN_STOP_MS: u64 = 4_900;
/// Time into the shutdown after which the agent exits regardless of what is left, in ms.
const SHUTDOWN_TIMEOUT_MS: u64 = 5_500;

/// Options of an agent.
#[derive(Debug, Clone)]
pub struct Options {
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Initial fencing token, which should be higher than those of earlier incarnations; the agent
    /// process passes the Unix time in ms.
    pub fencing_token: u64,
    /// Time limits that end runs before their job is submitted again.
    pub timing: Timing,
}

/// State that an endpoint announces in its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatState {
    /// Accepts work.
    Ready,
    /// About to leave; accepts no more work.
    Draining,
}

/// Heartbeat of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Instance of the endpoint.
    pub instance: Instance,
    /// Number of the heartbeat; rises within an instance.
    pub sequence: Option<u64>,
    /// Address to which calls are sent.
    pub address: SocketAddr,
    /// Whether the endpoint accepts work.
    pub state: HeartbeatState,
    /// Least time for which a draining endpoint stays, in ms.
    pub time_remaining: Option<u64>,
    /// Time for which the endpoint is slow after its start, in ms.
    pub cold_remaining: Option<u64>,
    /// Service and labels, which stay fixed for the life of the instance, and the present capacity.
    pub info: EndpointInfo,
}

impl Heartbeat {
    /// The heartbeat as it holds `wait` ms after it arrived.
    pub fn after(self, wait: u64) -> Heartbeat {
        let left = |time: Option<u64>| time.map(|it| it.saturating_sub(wait));
        Heartbeat {
            time_remaining: left(self.time_remaining),
            cold_remaining: left(self.cold_remaining),
            ..self
        }
    }
}

/// State of the agent's availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneState {
    /// Tasks may start.
    Served,
    /// Nothing starts until the operator takes the zone back.
    Evacuated,
    /// Nothing starts until the process has learned which zones are evacuated.
    Unknown,
}

/// Input of the agent's core.
#[derive(Debug)]
pub enum Event {
    /// The endpoint has sent a heartbeat.
    Heartbeat(Heartbeat),
    /// The endpoint has left.
    Left {
        /// Id of the instance that has left.
        instance: String,
    },
    /// An entry has sent a datagram.
    Frame {
        /// Address of the entry.
        from: SocketAddrV4,
        /// Commands and state of the entry.
        frame: Frame<Command, EntryState>,
    },
    /// An entry has confirmed crashes of the endpoint.
    CrashesSeen {
        /// Address of the entry.
        from: SocketAddrV4,
        /// What it has confirmed.
        seen: CrashesSeen,
    },
    /// The state of the agent's zone is known or has changed.
    Zone(ZoneState),
    /// A call was answered or has timed out.
    Answered {
        /// Number that [`Effect::Call`] gave to the call.
        id: u64,
        /// Answer, or why there is none.
        answer: Answer,
    },
    /// Periodic tick.
    Tick,
    /// The process is to shut down.
    Shutdown,
}

/// Action that the core requests from the event loop.
#[derive(Debug)]
pub enum Effect {
    /// Call the endpoint and pass the answer back as [`Event::Answered`].
    Call {
        /// Number of the call, unique within this process.
        id: u64,
        /// Operation, address and credentials.
        call: Call,
    },
    /// Send a datagram.
    Send {
        /// Address of the entry.
        to: SocketAddrV4,
        /// Report and notices for the entry.
        datagram: Datagram,
    },
    /// The process may exit.
    Finished,
}

/// A call that is in flight.
#[derive(Debug)]
struct PendingCall {
    /// Instance of the endpoint that is called.
    instance: Instance,
    purpose: Purpose,
}

/// Purpose of a call that is in flight.
#[derive(Debug, Clone, Copy)]
enum Purpose {
    Start { slot: RunSlot, number: u32 },
    Stop(RunSlot),
    StopOrphan,
    Poll { sent: Uptime, acknowledged: u64 },
    Announced,
}

/// Newest poll, while it is in flight.
#[derive(Debug)]
struct PendingPoll {
    id: u64,
    sent: Uptime,
    /// Time for which the endpoint may wait for a run to end before it answers, in ms.
    wait: u64,
}

/// Reservation of the free resources for one entry.
#[derive(Debug)]
struct Offer {
    to: SocketAddrV4,
    until: Uptime,
}

/// Core of the agent.
#[derive(Debug)]
pub struct Guard {
    options: Options,
    fencing_token: u64,
    endpoint: Option<Endpoint>,
    /// Announced endpoint that awaits the answer to its first poll.
    announced: Option<Endpoint>,
    /// A poll of the announced endpoint is in flight.
    polling_announced: bool,
    /// Instances that have ended; their heartbeats are ignored.
    ended_instances: EndedInstances,
    health_tracker: HealthTracker,
    zone: ZoneState,
    /// Number of runs that were refused because the zone is evacuated.
    evacuation_refusals: u64,
    runs: Runs,
    entries: Entries,
    /// Number of channels to entries that were created, those of forgotten entries included.
    channels_created: u64,
    pending: HashMap<u64, PendingCall>,
    next_call: u64,
    poll: Option<PendingPoll>,
    /// Time of the last poll.
    last_poll: Uptime,
    /// Time at which the first poll failed or timed out since one was last answered.
    first_unanswered: Option<Uptime>,
    /// Runs whose stop may not have reached the endpoint; while there are any, no lease is
    /// renewed and no run started, so that the lease ends them in any case.
    unconfirmed_stops: HashSet<RunSlot>,
    /// Number of runs that were rejected or listed as ended while they may still run.
    doubtful_runs: u64,
    /// Number of restarts of the endpoint under its id.
    restarts: u64,
    crashes: Crashes,
    /// Number of runs that were left to end at a notice of removal, and of those that were stopped.
    removal_stays: u64,
    removal_stopped: u64,
    /// Free resources, health or the offer have changed since entries with waiting jobs got a
    /// report.
    report_due: bool,
    /// Room that entries with waiting jobs may order, as of the last event.
    upcoming: Resources,
    offer: Option<Offer>,
    /// State of the linear congruential generator that picks entries for offers.
    lcg_state: u64,
    /// Time of the last event.
    last_event: Uptime,
    shutdown_since: Option<Uptime>,
    finished: bool,
    effects: Vec<Effect>,
}

impl Guard {
    /// Creates an agent without an endpoint.
    pub fn new(now: Uptime, options: Options) -> Guard {
        Guard {
            fencing_token: options.fencing_token,
            options,
            endpoint: None,
            announced: None,
            polling_announced: false,
            ended_instances: EndedInstances::default(),
            health_tracker: HealthTracker::new(now),
            zone: ZoneState::Served,
            evacuation_refusals: 0,
            runs: Runs::default(),
            entries: Entries::new(),
            channels_created: 0,
            pending: HashMap::new(),
            next_call: 0,
            poll: None,
            last_poll: Uptime::default(),
            first_unanswered: None,
            unconfirmed_stops: HashSet::new(),
            doubtful_runs: 0,
            restarts: 0,
            crashes: Crashes::default(),
            removal_stays: 0,
            removal_stopped: 0,
            report_due: false,
            upcoming: Resources::default(),
            offer: None,
            lcg_state: 0,
            last_event: now,
            shutdown_since: None,
            finished: false,
            effects: Vec::new(),
        }
    }

    /// Handles an event and returns the effects to carry out.
    pub fn handle(&mut self, now: Uptime, event: Event) -> Vec<Effect> {
        self.check_suspended(now);
        match event {
            Event::Heartbeat(beat) => self.on_heartbeat(now, beat),
            Event::Left { instance } => self.on_left(&instance),
            Event::Frame { from, frame } => self.on_frame(now, from, frame),
            Event::CrashesSeen { from, seen } => self.on_crashes_seen(from, seen),
            Event::Zone(zone) => self.on_zone(now, zone),
            Event::Answered { id, answer } => self.on_answer(now, id, answer),
            Event::Tick => self.on_tick(now),
            Event::Shutdown => self.on_shutdown(now),
        }
        self.stop_before_removal(now);
        self.start_queued(now);
        self.poll_endpoint(now);
        self.report_crashes(now);
        self.send_frames(now);
        self.check_finished(now);
        std::mem::take(&mut self.effects)
    }

    /// Whether the agent's endpoint gets work, if only one task as a trial.
    pub fn accepts_work(&self, now: Uptime) -> bool {
        self.health(now) != Health::Closed
    }

    /// Number of runs that hold resources of the endpoint.
    pub fn active(&self) -> usize {
        self.runs.iter().filter(|(_, run)| run.phase.holds_resources()).count()
    }

    /// Number of runs that were rejected or listed as ended while they may still run.
    pub fn doubtful_runs(&self) -> u64 {
        self.doubtful_runs
    }

    /// Number of runs that were refused because the agent's zone is evacuated.
    pub fn evacuation_refusals(&self) -> u64 {
        self.evacuation_refusals
    }

    /// Number of restarts of the endpoint under its id.
    pub fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Number of confirmed crashes of the endpoint.
    pub fn crashes(&self) -> u64 {
        self.crashes.confirmed()
    }

    /// Number of runs that were left to end at a notice of removal, and of those that were stopped
    /// because of one.
    pub fn removal_counts(&self) -> (u64, u64) {
        (self.removal_stays, self.removal_stopped)
    }

    /// Refuses the queued runs and stops those being started if the host was suspended: their
    /// orders may be stale, and the start must not be sent again.
    fn check_suspended(&mut self, now: Uptime) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if gap < SUSPENDED_MS {
            return;
        }
        log::warn!(gap_ms = gap; "the host was suspended; queued runs are refused, those being started are stopped");
        let slots: Vec<_> = self.runs.iter().map(|(slot, run)| (slot, run.phase)).collect();
        for (slot, phase) in slots {
            match phase {
                Phase::Queued { .. } => self.refuse(now, slot, Refusal::Stale),
                Phase::Starting => self.stop_run(now, slot, End::Lost),
                Phase::Running | Phase::Stopping { .. } => {}
            }
        }
    }

    fn on_tick(&mut self, now: Uptime) {
        self.health_tracker.tick(now);
        self.crashes.expire(now);
        self.runs.expire_numbers(now);
        let silence = self.options.timing.entry_silence;
        let silent: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.timed_out && now.since(entry.last_acknowledged) >= silence)
            .map(|(address, entry)| (*address, now.since(entry.last_acknowledged)))
            .collect();
        for (address, silence) in silent {
            let runs = self.runs.iter().filter(|(_, run)| run.entry == address).count();
            if runs > 0 {
                log::warn!(entry:% = address, silence_ms = silence, runs = runs; "an entry is silent; its runs are stopped");
            } else {
                log::info!(entry:% = address, silence_ms = silence; "an entry does not watch this agent any more, or is silent; it has no runs here");
            }
            if let Some(entry) = self.entries.get_mut(&address) {
                entry.timed_out = true;
                entry.waiting = 0;
            }
            self.stop_runs_of(now, address);
        }
        self.entries.retain(|_, entry| now.since(entry.last_received) < ENTRY_EXPIRY_MS);
        self.refuse_expired(now);
        self.hedge_starts(now);
        self.retry_stops(now);
        self.check_leases(now);
        self.poll_announced();
        if let Some(since) = self.shutdown_since
            && now.since(since) >= SHUTDOWN_STOP_MS
        {
            let slots: Vec<_> = self.runs.iter().map(|it| it.0).collect();
            for slot in slots {
                self.stop_run(now, slot, End::Stopped);
            }
        }
    }

    fn on_shutdown(&mut self, now: Uptime) {
        self.shutdown_since = Some(now);
        self.report_due = true;
        log::info!(active = self.active(); "the agent shuts down once its runs have ended");
        self.refuse_expired(now);
    }

    fn on_zone(&mut self, now: Uptime, zone: ZoneState) {
        if self.zone != zone {
            self.zone = zone;
            self.report_due = true;
            self.refuse_expired(now);
        }
    }

    /// Ends every run: the endpoint is gone or all its leases have expired.
    fn end_lost_runs(&mut self, now: Uptime) {
        self.end_runs_if(now, |_| true);
    }

    /// Ends the runs that `is_lost` selects; they are gone.
    fn end_runs_if(&mut self, now: Uptime, is_lost: impl Fn(RunSlot) -> bool) {
        let slots: Vec<_> = self.runs.iter().map(|it| it.0).filter(|it| is_lost(*it)).collect();
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
        let ready = self.endpoint.as_ref().is_some_and(Endpoint::is_ready);
        let zone_served = self.zone == ZoneState::Served;
        if !ready || !zone_served || self.is_silent(now) || self.shutdown_since.is_some() {
            return Health::Closed;
        }
        let is_idle = !self.runs.has_active();
        let is_cold = self.endpoint.as_ref().is_some_and(|it| it.is_cold(now));
        match self.health_tracker.health(now) {
            Health::Trial if !is_idle => Health::Closed,
            // Its share may have no room for a task, but it takes one if nothing runs.
            Health::Open if is_cold && is_idle => Health::Trial,
            health => health,
        }
    }

    /// Free resources of the endpoint.
    fn free(&self, now: Uptime) -> Resources {
        let is_idle = !self.runs.has_active();
        let room = self.endpoint.as_ref().map(|it| it.room(now, is_idle));
        room.map(|it| self.runs.free(it)).unwrap_or_default()
    }

    /// Whether runs may be started.
    fn may_start(&self, now: Uptime) -> bool {
        self.zone == ZoneState::Served && self.may_renew(now)
    }

    /// Whether the lease of all runs may be extended, which each start does as well.
    fn may_renew(&self, now: Uptime) -> bool {
        let gone = self.endpoint.as_ref().is_none_or(|it| it.gone);
        !gone && !self.is_silent(now) && self.unconfirmed_stops.is_empty()
    }

    /// Starts queued runs for which there are resources.
    fn start_queued(&mut self, now: Uptime) {
        if !self.may_start(now) || self.shutdown_since.is_some() {
            return;
        }
        let queued: Vec<_> = self.runs.queued().collect();
        if queued.is_empty() {
            return;
        }
        let mut starting = self.runs.iter().filter(|it| it.1.phase == Phase::Starting).count();
        for slot in queued {
            if starting >= MAX_PENDING_STARTS {
                return;
            }
            let Some(endpoint) = &self.endpoint else { return };
            let free = self.free(now);
            let Some(run) = self.runs.get(slot) else { continue };
            let trial = self.health_tracker.health(now) != Health::Open;
            if !endpoint.is_ready() || trial && self.runs.has_active() {
                return;
            }
            if !free.can_fit(&run.work) {
                continue;
            }
            log::info!(
                run:% = run.key, entry:% = run.entry, free_cpu = free.cpu, cpu = run.work.cpu,
                waited_ms = now.since(run.started);
                "a run starts"
            );
            starting += 1;
            self.runs.start(now, slot);
            self.report_due = true;
            self.send_start(now, slot);
        }
    }

    fn call_endpoint(&mut self, purpose: Purpose, kind: CallKind) -> Option<u64> {
        let endpoint = self.endpoint.as_ref()?;
        let call = Call {
            instance: endpoint.instance.clone(),
            address: endpoint.address,
            fencing_token: self.fencing_token,
            kind,
        };
        Some(self.call(purpose, call))
    }

    fn call(&mut self, purpose: Purpose, call: Call) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        let instance = call.instance.clone();
        self.pending.insert(id, PendingCall { instance, purpose });
        self.effects.push(Effect::Call { id, call });
        id
    }

    fn check_finished(&mut self, now: Uptime) {
        let Some(since) = self.shutdown_since else { return };
        let delivered =
            self.entries.values().all(|it| it.timed_out || it.channel.pending().next().is_none());
        let acknowledged = self.endpoint.as_ref().is_none_or(|it| it.acknowledged >= it.processed);
        let done = self.runs.is_empty() && delivered && acknowledged;
        if !self.finished && (done || now.since(since) >= SHUTDOWN_TIMEOUT_MS) {
            self.finished = true;
            self.effects.push(Effect::Finished);
        }
    }
}
