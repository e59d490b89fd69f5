//! Actor around the core of an entry.
//!
//! Turns messages into events of the core, carries out the effects that it returns, and keeps
//! the callers that wait for an answer.

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use broker::{Broker, Effect, Event, Reply, Status, Submission};
use mesh::{Datagram, JobId, Member, Role, Uptime};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{oneshot, watch};

use crate::{
    clock::uptime, cmd::Input, datagrams::Datagrams, discovery::Discovery, metrics::Metrics,
};

/// Messages of the actor.
pub(crate) enum Message {
    /// Input that both roles have.
    Input(Input),
    /// A caller submits a job.
    Submit {
        /// Id of the request within this process.
        token: u64,
        /// Submitted job.
        submission: Box<Submission>,
        /// Channel for the answer.
        reply: oneshot::Sender<Reply>,
    },
    /// The caller with this token disconnected before it was answered.
    Gone(u64),
    /// A caller cancels a job; the answer is whether the job was known.
    Cancel(JobId, oneshot::Sender<bool>),
    /// A caller asks for the status of a job.
    Status(JobId, oneshot::Sender<Option<Status>>),
    /// A caller asks how many jobs of a queue have not started.
    Pending(String, oneshot::Sender<usize>),
}

/// Actor of an entry.
pub(crate) struct EntryActor;

/// Dependencies of the actor.
pub(crate) struct Parts {
    pub(crate) broker: Broker,
    pub(crate) discovery: Discovery,
    pub(crate) datagrams: Datagrams,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) finished: watch::Sender<bool>,
}

/// State of the actor.
pub(crate) struct State {
    parts: Parts,
    callers: HashMap<u64, Caller>,
    stopping: bool,
}

struct Caller {
    arrived: Uptime,
    reply: oneshot::Sender<Reply>,
}

impl Actor for EntryActor {
    type Msg = Message;
    type State = State;
    type Arguments = Parts;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        parts: Parts,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State { parts, callers: HashMap::new(), stopping: false })
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
            Message::Submit { token, submission, reply } => {
                self.callers.insert(token, Caller { arrived: now, reply });
                self.run(now, Event::Submit { token, submission: *submission });
            }
            Message::Gone(token) => {
                self.callers.remove(&token);
                self.run(now, Event::Disconnected { token });
            }
            Message::Cancel(job, reply) => {
                let known = self.parts.broker.status(job).is_some();
                self.run(now, Event::Cancel { job });
                // The caller may have disconnected.
                let _ = reply.send(known);
            }
            Message::Status(job, reply) => {
                let _ = reply.send(self.parts.broker.status(job));
            }
            Message::Pending(route, reply) => {
                let _ = reply.send(self.parts.broker.pending(&route));
            }
        }
    }

    fn on_input(&mut self, now: Uptime, input: Input) {
        match input {
            Input::Datagram(from, datagram) => self.on_datagram(now, from, datagram),
            Input::Members(members) => {
                let new = self.parts.discovery.learn(now, members);
                self.add_members(now, new);
            }
            Input::Settings(settings) => self.parts.discovery.configure(&settings),
            Input::Tick => self.on_tick(now),
            Input::Stop => {
                self.stopping = true;
                self.parts.ready.store(false, Ordering::Relaxed);
                self.run(now, Event::Stop);
            }
        }
    }

    fn on_datagram(&mut self, now: Uptime, from: SocketAddrV4, datagram: Datagram) {
        match datagram {
            Datagram::Agent(frame) => {
                self.parts.discovery.hear(now, from);
                self.run(now, Event::Frame { from, frame });
            }
            Datagram::Hello(hello) => {
                let from = hello.from.clone();
                let new = self.parts.discovery.on_hello(now, hello);
                self.add_members(now, new);
                self.note_agent(now, from);
            }
            Datagram::Entry(_) => {
                log::warn!(from:% = from; "ignoring an order that another entry sent")
            }
        }
    }

    /// Logs new members and announces agents among them to the core.
    fn add_members(&mut self, now: Uptime, members: Vec<Member>) {
        for member in members {
            log::info!(member:% = member.address, role:? = member.role, zone = member.zone.as_str(); "a member is known");
            self.note_agent(now, member);
        }
    }

    /// Announces a member to the core if it is an agent.
    fn note_agent(&mut self, now: Uptime, member: Member) {
        if member.role == Role::Agent {
            let Member { address, zone, .. } = member;
            self.run(now, Event::Announced { address, zone });
        }
    }

    fn on_tick(&mut self, now: Uptime) {
        self.parts.discovery.tick(now);
        self.run(now, Event::Tick);
        let agents = self.parts.broker.available_agents(now);
        self.parts.ready.store(agents > 0 && !self.stopping, Ordering::Relaxed);
        let (jobs, waiting) = self.parts.broker.job_counts();
        self.parts.metrics.agents.set(agents as i64);
        self.parts.metrics.jobs.set(jobs as i64);
        self.parts.metrics.waiting.set(waiting as i64);
    }

    fn run(&mut self, now: Uptime, event: Event) {
        for effect in self.parts.broker.handle(now, event) {
            match effect {
                Effect::Answer { token, reply } => {
                    if let Some(caller) = self.callers.remove(&token) {
                        let took = now.since(caller.arrived) as f64 / 1_000.0;
                        self.parts.metrics.answer_time.observe(took);
                        // The caller may have disconnected.
                        let _ = caller.reply.send(reply);
                    }
                }
                Effect::Send { to, datagram } => self.parts.datagrams.send(to, &datagram),
                Effect::Finished => {
                    self.parts.finished.send_replace(true);
                }
            }
        }
    }
}
