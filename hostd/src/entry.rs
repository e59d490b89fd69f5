//! Actor that runs the core of an entry, a [`Broker`].
//!
//! Turns messages into events of the core, executes the effects that it returns, and keeps the
//! callers that wait for an answer.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use broker::{Broker, Effect, Event, Reply, Status, Submission};
use intake::ClientSocket;
use mesh::{Datagram, JobId, Member, Role, Uptime};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{oneshot, watch};

use crate::{
    clock::uptime,
    cmd::Input,
    config::ConfigExchange,
    datagrams::DatagramSocket,
    discovery::Discovery,
    evacuations::{EvacuationTracker, Source},
    job_limits::JobHold,
    metrics::Metrics,
};

/// Interval between checks whether callers of jobs in progress have left, in ms.
const CALLER_CHECK_MS: u64 = 50;

/// Messages of the actor.
pub(crate) enum Message {
    /// Input common to both roles.
    Input(Input),
    /// A caller submits a job.
    Submit {
        /// Number of the request within this process.
        request_number: u64,
        /// Time at which the end of the request arrived at this host.
        arrived: Uptime,
        /// Time at which the request was read.
        read: Uptime,
        /// Submitted job.
        submission: Box<Submission>,
        /// What the job takes until it is answered; none for a copy of a known job.
        hold: Option<JobHold>,
        /// Socket of the caller.
        socket: ClientSocket,
        /// Channel for the answer.
        reply: oneshot::Sender<Reply>,
    },
    /// The caller of the request with this number disconnected before it was answered.
    Disconnected(u64),
    /// A caller cancels a job; the answer is whether the job exists.
    Cancel(JobId, oneshot::Sender<bool>),
    /// A caller asks for the status of a job.
    Status(JobId, oneshot::Sender<Option<Status>>),
    /// A caller asks how many jobs of a queue have not started.
    Pending(String, oneshot::Sender<usize>),
}

/// Actor of an entry.
pub(crate) struct EntryActor;

/// Dependencies of the actor.
pub(crate) struct Dependencies {
    pub(crate) broker: Broker,
    pub(crate) discovery: Discovery,
    pub(crate) evacuations: EvacuationTracker,
    pub(crate) config_exchange: ConfigExchange,
    pub(crate) datagrams: DatagramSocket,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) finished: watch::Sender<bool>,
}

/// State of the actor.
pub(crate) struct State {
    deps: Dependencies,
    /// Callers that wait for an answer, by request number.
    callers: HashMap<u64, Caller>,
    /// Evacuated zones that the core knows.
    evacuated: BTreeSet<String>,
    /// Time of the next check whether callers have left.
    next_check: Uptime,
    stopping: bool,
}

struct Caller {
    arrived: Uptime,
    _hold: Option<JobHold>,
    socket: ClientSocket,
    reply: oneshot::Sender<Reply>,
}

impl Actor for EntryActor {
    type Msg = Message;
    type State = State;
    type Arguments = Dependencies;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        deps: Dependencies,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            deps,
            callers: HashMap::new(),
            evacuated: BTreeSet::new(),
            next_check: Uptime(0),
            stopping: false,
        })
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
            // The caller may have sent the job to another entry since.
            Message::Submit { arrived, submission, socket, reply, .. }
                if reply.is_closed() || socket.has_left() =>
            {
                self.deps.metrics.callers_left.inc();
                log::info!(
                    job:% = submission.job, request = submission.request.as_str(),
                    queued_ms = now.since(arrived);
                    "a job is dropped: its caller has left"
                );
            }
            Message::Submit { request_number, arrived, read, submission, hold, socket, reply } => {
                let caller = Caller { arrived, _hold: hold, socket, reply };
                self.callers.insert(request_number, caller);
                let submission = *submission;
                self.handle_event(now, Event::Submit { request_number, arrived, read, submission });
            }
            Message::Disconnected(request_number) => {
                self.callers.remove(&request_number);
                self.handle_event(now, Event::Disconnected { request_number });
            }
            Message::Cancel(job, reply) => {
                self.handle_event(now, Event::Cancel { job });
                let exists = self.deps.broker.status(job).is_some();
                // The caller may have disconnected.
                let _ = reply.send(exists);
            }
            Message::Status(job, reply) => {
                let _ = reply.send(self.deps.broker.status(job));
            }
            Message::Pending(route, reply) => {
                let _ = reply.send(self.deps.broker.unstarted_jobs(&route));
            }
        }
    }

    fn on_input(&mut self, now: Uptime, input: Input) {
        match input {
            Input::Datagram(from, datagram, _memory) => self.on_datagram(now, from, datagram),
            Input::Members(members) => {
                let new = self.deps.discovery.add_members(now, members);
                self.add_members(now, new);
            }
            Input::Evacuations(state) => {
                self.deps.evacuations.on_state(now, Source::Store, state);
                self.apply_evacuations(now);
            }
            Input::Settings(settings) => {
                self.deps.discovery.update_settings(&settings);
                self.deps.evacuations.update_settings(&settings);
                self.apply_evacuations(now);
                self.deps.broker.set_remote_percent(settings.remote_percent);
            }
            Input::Tick => self.on_tick(now),
            Input::Stop => {
                self.stopping = true;
                self.deps.ready.store(false, Ordering::Relaxed);
                self.handle_event(now, Event::Shutdown);
            }
        }
    }

    fn on_datagram(&mut self, now: Uptime, from: SocketAddrV4, datagram: Datagram) {
        match datagram {
            Datagram::Agent(frame) => {
                self.deps.discovery.mark_heard(now, from);
                self.deps.evacuations.observe(from, frame.sender);
                self.handle_event(now, Event::Frame { from, frame });
            }
            Datagram::Hello(hello) => {
                let from = hello.from.clone();
                if hello.ask {
                    self.deps.evacuations.on_hello(from.address);
                }
                let new = self.deps.discovery.on_hello(now, hello);
                self.add_members(now, new);
                self.announce_agent(now, from);
            }
            Datagram::Evacuations(state) => {
                self.deps.discovery.mark_heard(now, from);
                self.deps.evacuations.on_datagram(now, from, state);
                self.apply_evacuations(now);
            }
            Datagram::EvacuationsSeen { end } => {
                self.deps.discovery.mark_heard(now, from);
                self.deps.evacuations.on_seen(from, end);
            }
            Datagram::ConfigRequest { known } => {
                self.deps.config_exchange.on_request(now, from, known)
            }
            Datagram::ConfigPart(part) => self.deps.config_exchange.on_part(now, from, part),
            Datagram::Crashes(crashes) => {
                self.deps.discovery.mark_heard(now, from);
                self.handle_event(now, Event::Crashes { from, crashes });
            }
            Datagram::CrashesSeen(_) => {
                log::warn!(from:% = from; "ignoring a confirmation that is meant for an agent")
            }
            Datagram::Entry(_) => {
                log::warn!(from:% = from; "ignoring an order that another entry sent")
            }
        }
    }

    /// Tells the core and all members of evacuated zones that have changed.
    fn apply_evacuations(&mut self, now: Uptime) {
        let zones = self.deps.evacuations.zones();
        if zones != self.evacuated {
            self.evacuated = zones.clone();
            self.handle_event(now, Event::Evacuated { zones });
        }
        self.deps.evacuations.notify_members(now, self.deps.discovery.members());
    }

    /// Logs new members and announces agents among them to the core.
    fn add_members(&mut self, now: Uptime, members: Vec<Member>) {
        for member in members {
            log::info!(member:% = member.address, role:? = member.role, zone = member.zone.as_str(); "a member is known");
            self.announce_agent(now, member);
        }
    }

    /// Announces a member to the core if it is an agent.
    fn announce_agent(&mut self, now: Uptime, member: Member) {
        if member.role == Role::Agent {
            let Member { address, zone, .. } = member;
            self.handle_event(now, Event::Announced { address, zone });
        }
    }

    /// Gives up jobs whose callers have left while the end of their connection is not read.
    fn check_callers(&mut self, now: Uptime) {
        if now < self.next_check || self.callers.is_empty() {
            return;
        }
        self.next_check = now + CALLER_CHECK_MS;
        let sockets = self.callers.iter().map(|(number, caller)| (*number, &caller.socket));
        for request_number in ClientSocket::left(sockets) {
            self.deps.metrics.callers_left.inc();
            self.handle(now, Message::Disconnected(request_number));
        }
    }

    fn on_tick(&mut self, now: Uptime) {
        self.check_callers(now);
        self.deps.discovery.tick(now);
        let members = self.deps.discovery.members();
        self.deps.evacuations.notify_members(now, members);
        self.deps.evacuations.check_zones(now, members);
        self.deps.config_exchange.tick(now, &self.deps.discovery.entries());
        self.handle_event(now, Event::Tick);
        let agents = self.deps.broker.available_agents();
        self.deps.ready.store(agents > 0 && !self.stopping, Ordering::Relaxed);
        let (jobs, waiting) = self.deps.broker.job_counts();
        self.deps.metrics.agents.set(agents as i64);
        self.deps.metrics.watched.set(self.deps.broker.watched_agents() as i64);
        self.deps.metrics.set_orders(self.deps.broker.order_counts());
        self.deps.metrics.set_verdicts(self.deps.broker.verdict_counts());
        self.deps.metrics.suspect_jobs.set(self.deps.broker.suspect_jobs() as i64);
        self.deps.metrics.jobs.set(jobs as i64);
        self.deps.metrics.waiting.set(waiting as i64);
        self.deps.metrics.rack_waits.set(self.deps.broker.tasks_waiting_for_rack() as i64);
    }

    fn handle_event(&mut self, now: Uptime, event: Event) {
        for effect in self.deps.broker.handle(now, event) {
            match effect {
                Effect::Answer { request_number, reply } => {
                    if let Some(caller) = self.callers.remove(&request_number) {
                        let took_s = now.since(caller.arrived) as f64 / 1_000.0;
                        self.deps.metrics.answer_time.observe(took_s);
                        // The caller may have disconnected.
                        let _ = caller.reply.send(reply);
                    }
                }
                Effect::Send { to, datagram } => self.deps.datagrams.send(to, &datagram),
                Effect::Finished => {
                    self.deps.finished.send_replace(true);
                }
            }
        }
    }
}
