//! State machine of an agent, the process deployed next to each endpoint.
//!
//! An agent decides for the shards that it owns whether an id may start, queues
//! requests for its endpoint, hands them on to other agents of its group when
//! its endpoint is busy, and replies to the entries. The state machine does no
//! I/O: [`Agent::handle`] takes an [`Event`] and the time, and returns
//! [`Effect`]s.

mod coordinate;
mod deferral;
mod delegate;
mod lifecycle;
mod membership;
mod options;
mod outcome_waiters;
mod place;
mod request;
mod stop;
mod tasks;

use std::{collections::HashMap, sync::Arc, time::Duration};

use config::Inventory;
use ident::{Group, RequestId, Timestamp};
use jobs::Jobs;
use ledger::Ledger;
use members::Members;
use node::{CallToken, Decision, Effect, Event, ExecToken, ReplyTo, TaskToken};
use placement::Placer;
use queue::Queue;
use rand::{SeedableRng, rngs::StdRng};
use register::State;
use routing::Router;
use slotmap::{Key, KeyData, SlotMap};
use tenure::Tenure;
use wire::{Call, Reply};

pub use crate::options::Options;
use crate::{
    coordinate::JobWaiters,
    deferral::DeferredCalls,
    membership::LoadReport,
    outcome_waiters::OutcomeWaiters,
    request::{CallKey, Pending, Request, RequestKey},
    stop::Phase,
    tasks::LocalTasks,
};

/// Interval at which the ownership of shards is checked.
const TENURE_INTERVAL: Duration = Duration::from_millis(50);

/// State of an agent.
pub struct Agent {
    options: Options,
    now: Timestamp,
    effects: Vec<Effect>,
    rng: StdRng,
    state: Arc<State>,
    /// Start of the latest log read that `state` is based on.
    read_at: Timestamp,
    phase: Phase,
    tenure: Tenure,
    ledger: Ledger,
    /// Starts and outcomes of requests that other agents handed on to this one.
    delegate_ledger: Ledger,
    queue: Queue<RequestKey>,
    requests: SlotMap<RequestKey, Request>,
    by_id: HashMap<RequestId, RequestKey>,
    calls: SlotMap<CallKey, Pending>,
    router: Router,
    members: Members,
    /// Sequence number of the latest report.
    sequence: u64,
    load_report: LoadReport,
    heartbeat_due: Timestamp,
    tenure_due: Timestamp,
    expiry_due: Timestamp,
    jobs: Jobs,
    job_waiters: JobWaiters,
    outcome_waiters: OutcomeWaiters,
    deferred: DeferredCalls,
    tasks: LocalTasks,
}

impl Agent {
    /// Creates an agent without configuration or known peers.
    pub fn new(options: Options) -> Agent {
        let inventory = Inventory::default();
        let rules = &inventory.rules;
        let (node, zone) = (options.node, &options.availability_zone);
        let mut tenure =
            Tenure::new(node, options.incarnation, options.group.clone(), rules.skew());
        tenure.set_zone(node, zone);
        Agent {
            now: Timestamp::ZERO,
            effects: Vec::new(),
            rng: StdRng::seed_from_u64(options.seed),
            state: Arc::new(State::default()),
            read_at: Timestamp::ZERO,
            phase: Phase::Running,
            tenure,
            ledger: Ledger::new(request::ledger_limits(rules)),
            delegate_ledger: Ledger::new(request::ledger_limits(rules)),
            queue: Queue::new(0, place::QUEUE_LIMIT),
            requests: SlotMap::with_key(),
            by_id: HashMap::new(),
            calls: SlotMap::with_key(),
            router: Router::new(options.availability_zone.clone()),
            members: Members::new(options.node, options.availability_zone.clone(), &options.seeds),
            sequence: 0,
            load_report: LoadReport::default(),
            heartbeat_due: Timestamp::ZERO,
            tenure_due: Timestamp::ZERO,
            expiry_due: Timestamp::ZERO,
            jobs: Jobs::new(Placer::new(&options.availability_zone, options.seed)),
            job_waiters: JobWaiters::default(),
            outcome_waiters: OutcomeWaiters::default(),
            deferred: DeferredCalls::default(),
            tasks: LocalTasks::new(),
            options,
        }
    }

    /// Handles an event and returns the resulting effects.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Call { from, call, .. } => self.on_call(from, call),
            Event::PeerReplied { token, reply } => self.on_peer_replied(token, reply),
            Event::Executed { token, result, took } => self.on_executed(token, result, took),
            Event::TaskEnded { token, result, .. } => self.on_task_ended(token, result),
            Event::Datagram(datagram) => self.on_datagram(datagram),
            Event::State { state, read_at } => self.on_state(state, read_at),
            Event::Tick => self.on_tick(),
            Event::Stop => self.on_stop(),
            Event::CallerRequest { .. } | Event::CallerGone { .. } | Event::Explain { .. } => {}
        }
        self.start_queued();
        self.report_load();
        self.advance_stop();
        std::mem::take(&mut self.effects)
    }

    /// Number of ids in the ledger.
    pub fn ledger_len(&self) -> usize {
        self.ledger.len()
    }

    /// Version of the configuration in force on this agent, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.state.version()
    }

    fn on_call(&mut self, from: ReplyTo, call: Call) {
        match call {
            Call::Run(run) => self.on_run(from, run),
            Call::Execute(run) => self.on_execute(from, run),
            Call::Cancel(cancel) => self.on_cancel(from, cancel.id),
            Call::Ask(id) => self.on_ask(from, id),
            Call::Await(id) => self.on_await(from, id),
            Call::Submit(spec) => self.on_submit(from, spec),
            Call::AskJob(id) => self.on_ask_job(from, id),
            Call::StartTask(start) => self.on_start_task(from, start),
            Call::RenewTasks { job, lease } => self.on_renew_tasks(from, job, lease),
            Call::StopTasks { job } => self.on_stop_tasks(from, job),
            Call::Fetch(fetch) => self.on_fetch(from, fetch),
            Call::HandOver(hand_over) => self.on_hand_over(from, &hand_over),
        }
    }

    fn on_tick(&mut self) {
        self.refuse_late();
        self.tick_membership();
        if self.now >= self.tenure_due {
            self.tenure_due = self.now + TENURE_INTERVAL;
            self.tick_tenure();
        }
        self.tick_jobs();
        self.expire_outcome_waiters();
        self.resume_deferred();
        self.expire_ledgers();
    }

    fn reply(&mut self, to: ReplyTo, reply: Reply) {
        self.effects.push(Effect::Reply { to, reply });
    }

    fn record_decision(&mut self, decision: Decision) {
        self.effects.push(Effect::LogDecision(decision));
    }

    /// Group of this agent; its agents share the group's shards.
    fn group(&self) -> &Group {
        &self.options.group
    }
}

fn exec_token(key: RequestKey) -> ExecToken {
    ExecToken(key.data().as_ffi())
}

fn request_key(token: ExecToken) -> RequestKey {
    KeyData::from_ffi(token.0).into()
}

fn call_token(key: CallKey) -> CallToken {
    CallToken(key.data().as_ffi())
}

fn call_key(token: CallToken) -> CallKey {
    KeyData::from_ffi(token.0).into()
}

fn task_token(key: tasks::TaskKey) -> TaskToken {
    TaskToken(key.data().as_ffi())
}

fn task_key(token: TaskToken) -> tasks::TaskKey {
    KeyData::from_ffi(token.0).into()
}
