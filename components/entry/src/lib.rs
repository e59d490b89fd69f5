//! State machine of an entry, the process that accepts callers' requests.
//!
//! A request passes a chain of filters: it is validated, classified, charged to
//! its team's quota and admitted. It is then routed, retried where that is safe,
//! and answered. An entry has no durable state. The state machine does no I/O:
//! [`Entry::handle`] takes an [`Event`] and the time, and returns [`Effect`]s.

mod answer;
mod attempt;
mod filter;
mod membership;
mod options;
mod query;
mod request;
mod route;
mod stable_shards;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use ident::{NodeId, Timestamp};
use members::Members;
use node::{CallToken, CallerRequest, CallerToken, Decision, Effect, Event};
use quota::Quotas;
use rand::{SeedableRng, rngs::StdRng};
use register::State;
use retry::Budget;
use routing::Router;
use slotmap::{Key, KeyData, SlotMap};
use wire::{Call, Reply, Snapshot};

pub use crate::options::Options;
use crate::{
    query::{Query, QueryKey},
    request::{CallKey, Pending, Request, RequestKey, Timer},
    stable_shards::StableShards,
};

/// State of an entry.
pub struct Entry {
    options: Options,
    now: Timestamp,
    effects: Vec<Effect>,
    rng: StdRng,
    state: Arc<State>,
    /// Start of the latest log read that `state` is based on.
    read_at: Timestamp,
    phase: Phase,
    members: Members,
    router: Router,
    quotas: Quotas,
    retry_budget: Budget,
    requests: SlotMap<RequestKey, Request>,
    by_token: HashMap<CallerToken, RequestKey>,
    stable_shards: StableShards,
    queries: SlotMap<QueryKey, Query>,
    calls: SlotMap<CallKey, Pending>,
    timers: BTreeSet<Timer>,
    gossip_due: Timestamp,
}

/// Phase of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Running,
    Stopping,
    Stopped,
}

impl Entry {
    /// Creates an entry without configuration or known peers.
    pub fn new(options: Options) -> Entry {
        Entry {
            now: Timestamp::ZERO,
            effects: Vec::new(),
            rng: StdRng::seed_from_u64(options.seed),
            state: Arc::new(State::default()),
            read_at: Timestamp::ZERO,
            phase: Phase::Running,
            members: Members::new(options.node, options.availability_zone.clone(), &options.seeds),
            router: Router::new(options.availability_zone.clone()),
            quotas: Quotas::new(),
            retry_budget: Budget::new(0),
            requests: SlotMap::with_key(),
            by_token: HashMap::new(),
            stable_shards: StableShards::default(),
            queries: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            timers: BTreeSet::new(),
            gossip_due: Timestamp::ZERO,
            options,
        }
    }

    /// Handles an event and returns the resulting effects.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::CallerRequest { token, request } => self.on_caller_request(token, request),
            Event::CallerGone { token } => self.on_caller_gone(token),
            Event::Call { from, call, .. } => {
                let reply = self.on_call(&call);
                self.effects.push(Effect::Reply { to: from, reply });
            }
            Event::PeerReplied { token, reply } => self.on_peer_replied(token, reply),
            Event::Datagram(datagram) => self.on_datagram(datagram),
            Event::State { state, read_at } => self.on_state(state, read_at),
            Event::Tick => self.on_tick(),
            Event::Stop => self.phase = Phase::Stopping,
            Event::Executed { .. } | Event::TaskEnded { .. } | Event::Explain { .. } => {}
        }
        self.finish_stop();
        std::mem::take(&mut self.effects)
    }

    /// Version of the configuration in force on this entry, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.state.version()
    }

    /// Whether the entry has a configuration and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Running && self.state.config.is_some()
    }

    fn on_caller_request(&mut self, token: CallerToken, request: CallerRequest) {
        match request {
            CallerRequest::Request(request) => self.on_request(token, request),
            CallerRequest::Job(job) => self.on_job(token, job),
            CallerRequest::Ask(id) => self.on_ask(token, id),
            CallerRequest::Cancel(id) => self.on_cancel(token, id),
            CallerRequest::AskJob(id) => self.on_ask_job(token, id),
            CallerRequest::CancelJob(id) => self.on_cancel_job(token, id),
            CallerRequest::Status => self.on_status(token),
            CallerRequest::Explain(_) => {
                let reply = node::CallerReply::Explain(Vec::new());
                self.effects.push(Effect::Respond { token, reply });
            }
        }
    }

    fn on_call(&mut self, call: &Call) -> Reply {
        match call {
            Call::Fetch(fetch) => {
                let newer = fetch.next_offset < self.state.next_offset;
                Reply::State(newer.then(|| Snapshot {
                    next_offset: self.state.next_offset,
                    read_at: self.read_at,
                    state: self.state.encode(),
                }))
            }
            Call::Run(_)
            | Call::Execute(_)
            | Call::Cancel(_)
            | Call::Ask(_)
            | Call::Await(_)
            | Call::Submit(_)
            | Call::AskJob(_)
            | Call::StartTask(_)
            | Call::RenewTasks { .. }
            | Call::StopTasks { .. }
            | Call::HandOver(_) => Reply::Status(wire::Status::Unknown),
        }
    }

    fn on_peer_replied(&mut self, token: CallToken, reply: Result<Reply, node::LinkError>) {
        let Some(pending) = self.calls.remove(call_key(token)) else { return };
        match pending {
            Pending::Attempt { request, node, sent } => {
                self.on_attempt_ended(request, node, sent, reply);
            }
            Pending::Query { query } => self.on_query_reply(query, reply),
            Pending::Notice => {}
        }
    }

    fn on_tick(&mut self) {
        self.tick_membership();
        self.fire_timers();
    }

    fn finish_stop(&mut self) {
        if self.phase == Phase::Stopping && self.requests.is_empty() && self.queries.is_empty() {
            self.phase = Phase::Stopped;
            self.effects.push(Effect::Stopped);
        }
    }

    fn record_decision(&mut self, decision: Decision) {
        self.effects.push(Effect::LogDecision(decision));
    }

    fn call(&mut self, pending: Pending, node: NodeId, call: Call, timeout: std::time::Duration) {
        let token = call_token(self.calls.insert(pending));
        self.effects.push(Effect::CallPeer { token, node, call, timeout });
    }
}

fn call_token(key: CallKey) -> CallToken {
    CallToken(key.data().as_ffi())
}

fn call_key(token: CallToken) -> CallKey {
    KeyData::from_ffi(token.0).into()
}
