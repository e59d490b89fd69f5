//! Actor that runs the core of an agent, a [`Guard`].
//!
//! Turns messages into events of the core and executes the effects that it returns.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use guard::{Answer, Call, CallKind, Effect, Event, Guard, Heartbeat, Rejection, ZoneState};
use mesh::{Datagram, Uptime};
use platform::EndpointClient;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{oneshot, watch};

use crate::{
    clock::uptime,
    cmd::Input,
    datagrams::DatagramSocket,
    discovery::Discovery,
    evacuations::{EvacuationTracker, Source},
    metrics::{CallRejection, Metrics, Outcome},
};

/// Messages of the actor.
pub(crate) enum Message {
    /// Input common to both roles.
    Input(Input),
    /// The endpoint sent a heartbeat.
    Heartbeat {
        /// Content of the heartbeat.
        heartbeat: Heartbeat,
        /// Time at which its end arrived at this host.
        arrived: Uptime,
        /// Told once the heartbeat is handled.
        handled: oneshot::Sender<()>,
    },
    /// The endpoint with this instance id has deregistered.
    Deregistered(String, oneshot::Sender<()>),
    /// A call to the endpoint was answered or failed.
    Answered {
        /// Id that the core gave the call.
        id: u64,
        /// Operation of the call.
        operation: &'static str,
        /// Answer, or why there is none.
        answer: Answer,
        /// Duration of the call.
        took: Duration,
    },
}

/// Actor of an agent.
pub(crate) struct AgentActor;

/// Dependencies of the actor.
pub(crate) struct Dependencies {
    pub(crate) guard: Guard,
    pub(crate) discovery: Discovery,
    pub(crate) evacuations: EvacuationTracker,
    /// Set while the settings enable evacuations.
    pub(crate) follows_evacuations: watch::Sender<bool>,
    /// Start of the process.
    pub(crate) started: Uptime,
    pub(crate) datagrams: DatagramSocket,
    pub(crate) endpoint: EndpointClient,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) finished: watch::Sender<bool>,
}

/// State of the actor.
pub(crate) struct State {
    deps: Dependencies,
    /// State of the zone that the core knows.
    zone: ZoneState,
    myself: ActorRef<Message>,
}

impl Actor for AgentActor {
    type Msg = Message;
    type State = State;
    type Arguments = Dependencies;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        deps: Dependencies,
    ) -> Result<State, ActorProcessingErr> {
        let mut state = State { deps, zone: ZoneState::Served, myself };
        state.apply_evacuations(uptime());
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(uptime(), message);
        Ok(())
    }
}

impl State {
    fn handle(&mut self, now: Uptime, message: Message) {
        match message {
            Message::Input(input) => self.on_input(now, input),
            Message::Heartbeat { heartbeat, arrived, handled } => {
                let heartbeat = heartbeat.after(now.since(arrived));
                self.handle_event(now, Event::Heartbeat(heartbeat));
                // The endpoint may have closed its connection.
                let _ = handled.send(());
            }
            Message::Deregistered(instance, handled) => {
                self.handle_event(now, Event::Left { instance });
                let _ = handled.send(());
            }
            Message::Answered { id, operation, answer, took } => {
                self.record_call(operation, &answer, took);
                self.handle_event(now, Event::Answered { id, answer });
            }
        }
    }

    fn on_input(&mut self, now: Uptime, input: Input) {
        match input {
            Input::Datagram(from, datagram, _memory) => self.on_datagram(now, from, datagram),
            Input::Members(members) => {
                self.deps.discovery.add_members(now, members);
            }
            Input::Evacuations(state) => {
                self.deps.evacuations.on_state(now, Source::Store, state);
                self.apply_evacuations(now);
            }
            Input::Settings(settings) => {
                self.deps.discovery.update_settings(&settings);
                self.deps.evacuations.update_settings(&settings);
                self.deps.follows_evacuations.send_replace(self.deps.evacuations.is_active());
                self.apply_evacuations(now);
            }
            Input::Tick => {
                self.deps.discovery.tick(now);
                self.apply_evacuations(now);
                self.handle_event(now, Event::Tick);
                self.deps.metrics.active.set(self.deps.guard.active() as i64);
                self.deps.metrics.open.set(i64::from(self.deps.guard.accepts_work(now)));
                let doubtful = &self.deps.metrics.doubtful;
                doubtful.inc_by(self.deps.guard.doubtful_runs() - doubtful.get());
                let refusals = &self.deps.metrics.evacuation_refusals;
                refusals.inc_by(self.deps.guard.evacuation_refusals() - refusals.get());
                let (stays, stopped) = self.deps.guard.removal_counts();
                let removal = &self.deps.metrics.removal_stays;
                removal.inc_by(stays - removal.get());
                let removal = &self.deps.metrics.removal_stopped;
                removal.inc_by(stopped - removal.get());
                let restarts = &self.deps.metrics.restarts;
                restarts.inc_by(self.deps.guard.restarts() - restarts.get());
                let crashes = &self.deps.metrics.crashes;
                crashes.inc_by(self.deps.guard.crashes() - crashes.get());
            }
            Input::Stop => self.handle_event(now, Event::Shutdown),
        }
    }

    fn on_datagram(&mut self, now: Uptime, from: SocketAddrV4, datagram: Datagram) {
        match datagram {
            Datagram::Entry(frame) => {
                self.deps.discovery.mark_heard(now, from);
                self.handle_event(now, Event::Frame { from, frame });
            }
            Datagram::Hello(hello) => {
                self.deps.discovery.on_hello(now, hello);
            }
            Datagram::Evacuations(state) => {
                self.deps.discovery.mark_heard(now, from);
                self.deps.evacuations.on_datagram(now, from, state);
                self.apply_evacuations(now);
            }
            Datagram::CrashesSeen(seen) => {
                self.handle_event(now, Event::CrashesSeen { from, seen });
            }
            // Agents send no state that could be confirmed.
            Datagram::EvacuationsSeen { .. } => {}
            Datagram::Agent(_) | Datagram::Crashes(_) => {
                log::warn!(from:% = from; "ignoring a report that another agent sent")
            }
            Datagram::ConfigRequest { .. } | Datagram::ConfigPart(_) => {
                log::warn!(from:% = from; "ignoring a message that is meant for an entry")
            }
        }
    }

    /// Tells the core whether the zone of this agent is evacuated.
    fn apply_evacuations(&mut self, now: Uptime) {
        let evacuations = &self.deps.evacuations;
        let own = self.deps.discovery.members().own();
        let zone = if evacuations.is_evacuated(&own.zone) {
            ZoneState::Evacuated
        } else if evacuations.awaits_state(now, self.deps.started) {
            ZoneState::Unknown
        } else {
            ZoneState::Served
        };
        if self.zone != zone {
            log::info!(before:? = self.zone, zone:? = zone; "the zone of this agent has changed");
            self.zone = zone;
            self.handle_event(now, Event::Zone(zone));
        }
    }

    fn handle_event(&mut self, now: Uptime, event: Event) {
        for effect in self.deps.guard.handle(now, event) {
            match effect {
                Effect::Call { id, call } => self.start_call(id, call),
                Effect::Send { to, datagram } => self.deps.datagrams.send(to, &datagram),
                Effect::Finished => {
                    self.deps.finished.send_replace(true);
                }
            }
        }
    }

    fn start_call(&self, id: u64, call: Call) {
        let endpoint = self.deps.endpoint.clone();
        let myself = self.myself.clone();
        let operation = match call.kind {
            CallKind::Start { .. } => "start",
            CallKind::Stop { .. } => "stop",
            CallKind::Hold { .. } => "poll",
        };
        tokio::spawn(async move {
            let started = Instant::now();
            let answer = endpoint.call(&call).await;
            let took = started.elapsed();
            // The cast fails only once the actor has stopped, at the end of the process.
            let _ = myself.cast(Message::Answered { id, operation, answer, took });
        });
    }

    fn record_call(&self, operation: &'static str, answer: &Answer, took: Duration) {
        if let Answer::Rejected(rejection) = answer {
            let label = CallRejection::new(operation, rejection_name(*rejection));
            self.deps.metrics.rejections.get_or_create(&label).inc();
        }
        let outcome = match answer {
            Answer::Accepted { .. } => "accepted",
            Answer::Seen(_) => "seen",
            Answer::Rejected(_) => "rejected",
            Answer::Unsent => "unsent",
            Answer::Unknown => "unanswered",
        };
        self.deps.metrics.calls.get_or_create(&Outcome::new(outcome)).inc();
        self.deps.metrics.call_time.observe(took.as_secs_f64());
    }
}

/// Name of a rejection in the metrics.
fn rejection_name(rejection: Rejection) -> &'static str {
    match rejection {
        Rejection::Fence => "fence",
        Rejection::Old => "old",
        Rejection::Late => "late",
        Rejection::Room => "room",
        Rejection::Unhealthy => "unhealthy",
        Rejection::Instance => "instance",
        Rejection::Invalid => "invalid",
    }
}
