//! State machine of an agent, the process deployed next to each endpoint.
//!
//! An agent decides for the shards that it owns whether an id may start, queues
//! requests for its endpoint, hands them on to other agents of its group when
//! its endpoint is busy, and replies to the entries. The state machine does no
//! I/O: [`Agent::handle`] takes an [`Event`] and the time, and returns
//! [`Effect`]s.

mod awaiting;
mod coordinate;
mod delegate;
mod membership;
mod options;
mod own;
mod parking;
mod place;
mod stop;
mod tasks;
mod work;

use std::{collections::HashMap, sync::Arc, time::Duration};

use config::Inventory;
use ident::{Group, RequestId, Timestamp};
use jobs::Jobs;
use ledger::Ledger;
use members::Members;
use node::{Decision, Effect, Event, ExecToken, PeerToken, ReplyTo, TaskToken};
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
    awaiting::Awaiting,
    coordinate::JobWaiters,
    membership::Told,
    parking::Parking,
    stop::Phase,
    tasks::LocalTasks,
    work::{CallKey, Pending, Work, WorkKey},
};

/// Interval at which the ownership of shards is checked.
const TENURE_INTERVAL: Duration = Duration::from_millis(50);

/// State of an agent.
pub struct Agent {
    me: Options,
    now: Timestamp,
    effects: Vec<Effect>,
    rng: StdRng,
    state: Arc<State>,
    read_at: Timestamp,
    phase: Phase,
    tenure: Tenure,
    ledger: Ledger,
    delegated: Ledger,
    queue: Queue<WorkKey>,
    works: SlotMap<WorkKey, Work>,
    by_id: HashMap<RequestId, WorkKey>,
    calls: SlotMap<CallKey, Pending>,
    router: Router,
    members: Members,
    sequence: u64,
    told: Told,
    beat_at: Timestamp,
    tenure_at: Timestamp,
    expire_at: Timestamp,
    jobs: Jobs,
    job_waiters: JobWaiters,
    awaiting: Awaiting,
    parking: Parking,
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
            ledger: Ledger::new(work::ledger_limits(rules)),
            delegated: Ledger::new(work::ledger_limits(rules)),
            queue: Queue::new(0, place::QUEUE_LIMIT),
            works: SlotMap::with_key(),
            by_id: HashMap::new(),
            calls: SlotMap::with_key(),
            router: Router::new(options.availability_zone.clone()),
            members: Members::new(options.node, options.availability_zone.clone(), &options.seeds),
            sequence: 0,
            told: Told::default(),
            beat_at: Timestamp::ZERO,
            tenure_at: Timestamp::ZERO,
            expire_at: Timestamp::ZERO,
            jobs: Jobs::new(Placer::new(&options.availability_zone, options.seed)),
            job_waiters: JobWaiters::default(),
            awaiting: Awaiting::default(),
            parking: Parking::default(),
            tasks: LocalTasks::new(),
            me: options,
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
            Event::Caller { .. } | Event::CallerGone { .. } | Event::Explain { .. } => {}
        }
        self.start_queued();
        self.report_load();
        self.finish_stop();
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
        if self.now >= self.tenure_at {
            self.tenure_at = self.now + TENURE_INTERVAL;
            self.tick_tenure();
        }
        self.tick_jobs();
        self.tick_awaiting();
        self.tick_parking();
        self.expire();
    }

    fn reply(&mut self, to: ReplyTo, reply: Reply) {
        self.effects.push(Effect::Reply { to, reply });
    }

    fn decide(&mut self, decision: Decision) {
        self.effects.push(Effect::Decide(decision));
    }

    /// Group of this agent; its agents share the group's shards.
    fn group(&self) -> &Group {
        &self.me.group
    }
}

fn exec_token(key: WorkKey) -> ExecToken {
    ExecToken(key.data().as_ffi())
}

fn work_key(token: ExecToken) -> WorkKey {
    KeyData::from_ffi(token.0).into()
}

fn peer_token(key: CallKey) -> PeerToken {
    PeerToken(key.data().as_ffi())
}

fn call_key(token: PeerToken) -> CallKey {
    KeyData::from_ffi(token.0).into()
}

fn task_token(key: tasks::TaskKey) -> TaskToken {
    TaskToken(key.data().as_ffi())
}

fn task_key(token: TaskToken) -> tasks::TaskKey {
    KeyData::from_ffi(token.0).into()
}
