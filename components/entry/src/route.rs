//! Routing of requests to agents.

use std::time::Duration;

use ident::{Group, NodeId, RequestId, SHARD_COUNT, Shard};
use members::Liveness;
use node::{Candidate, Decision, Step};
use rand::RngExt;
use routing::{Choice, Criteria};
use verdict::{Reason, Refusal};

use crate::{
    Entry,
    attempt::MAX_ATTEMPTS,
    filter::refuse_unsent,
    request::{Pending, Request, RequestKey, Route, Timer, TimerKind},
};

/// Time beyond the deadline after which a call counts as lost.
const CALL_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of random ids generated in search of a suitable shard.
const MAX_GENERATED_IDS: usize = 8 * SHARD_COUNT as usize;

/// Retry delay for callers of a service without endpoints.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Entry {
    /// Sends the request to the best agent that its route allows.
    pub(crate) fn route(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else { return };
        match request.route {
            Route::Any => self.route_any(key),
            Route::Owner => self.route_owner(key),
            Route::Generated => self.route_generated(key),
        }
    }

    fn route_any(&mut self, key: RequestKey) {
        let Some(choice) = self.choose_agent(key) else { return };
        self.send(key, choice.node, choice.candidates);
        self.schedule_hedge(key);
    }

    /// Chooses the agent expected to answer soonest; refuses the request if there is
    /// none or if its predicted wait reaches the deadline.
    fn choose_agent(&mut self, key: RequestKey) -> Option<Choice> {
        let request = &self.requests[key];
        let criteria = criteria(request);
        let choice = self.router.choose(&request.group, &criteria, self.now, &mut self.rng);
        match choice {
            None => {
                self.refuse_without_endpoint(key);
                None
            }
            Some(choice) if choice.wait >= request.deadline.since(self.now) => {
                self.refuse_overloaded(key, choice.wait);
                None
            }
            Some(choice) => Some(choice),
        }
    }

    fn route_owner(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        let shard = Shard::of(request.id());
        let owner = self.state.table.get(&request.group, shard).map(|it| it.owner);
        let is_gone = |node| self.members.get(node).is_some_and(|it| it.liveness == Liveness::Gone);
        match owner {
            Some(owner) if is_gone(owner) => self.refuse_unreachable(key),
            Some(owner) => self.send(key, owner, Vec::new()),
            None => self.refuse_without_endpoint(key),
        }
    }

    fn route_generated(&mut self, key: RequestKey) {
        let Some(choice) = self.choose_agent(key) else { return };
        let Some((id, owner)) = self.generate_id(key, choice.node) else {
            return self.refuse_without_endpoint(key);
        };
        self.requests[key].set_id(id);
        self.send(key, owner, choice.candidates);
    }

    /// Generates an id in a stable shard of the node, or of any owner if the node has
    /// none. If none of [`MAX_GENERATED_IDS`] ids falls into such a shard, the last one
    /// is used.
    fn generate_id(&mut self, key: RequestKey, node: NodeId) -> Option<(RequestId, NodeId)> {
        let group = &self.requests[key].group;
        let has_stable = self.stable_shards.has_any(node);
        let mut last = None;
        for _ in 0..MAX_GENERATED_IDS {
            let id = RequestId::new(self.now, self.rng.random());
            let shard = Shard::of(id);
            last = Some((id, self.state.table.get(group, shard)?.owner));
            let is_suitable = match has_stable {
                true => self.stable_shards.has(node, shard),
                false => self.stable_shards.is_stable(group, shard),
            };
            if is_suitable {
                break;
            }
        }
        last
    }

    /// Sends the request to a node.
    pub(crate) fn send(&mut self, key: RequestKey, node: NodeId, candidates: Vec<Candidate>) {
        let now = self.now;
        let hints = self.hints(key, node);
        let request = &mut self.requests[key];
        let budget = request.deadline.since(now);
        let call = request.call(budget, hints);
        let step = match (request.attempts, request.in_flight.is_empty()) {
            (0, _) => Step::Route,
            (_, true) => Step::Retry,
            (_, false) => Step::Hedge,
        };
        request.attempts += 1;
        request.in_flight.push(node);
        request.tried.push(node);
        let id = request.id();
        self.router.on_sent(node, request.expected, now);
        let detail = match step {
            Step::Route => "The entry chose this agent.",
            _ => "The request was sent once more.",
        };
        self.record_decision(Decision {
            candidates,
            ..Decision::new(id, step, detail).with_node(node)
        });
        let pending = Pending::Attempt { request: key, node, sent: now };
        self.call(pending, node, call, budget + CALL_GRACE);
    }

    /// Agent to which a busy owner may hand the request on; at most one.
    fn hints(&mut self, key: RequestKey, owner: NodeId) -> Vec<NodeId> {
        let request = &self.requests[key];
        if request.route == Route::Any || request.group == Group::Workers {
            return Vec::new();
        }
        let criteria = Criteria { exclude: &[owner], ..criteria(request) };
        let choice = self.router.choose(&request.group, &criteria, self.now, &mut self.rng);
        choice.map(|choice| choice.node).into_iter().collect()
    }

    fn schedule_hedge(&mut self, key: RequestKey) {
        let Some(config) = &self.state.config else { return };
        let request = &self.requests[key];
        if !config.inventory.rules.hedge || request.attempts > 1 {
            return;
        }
        let delay = self.router.hedge_delay(request.service(), request.kind(), request.expected);
        if let Some(delay) = delay {
            self.timers.insert(Timer {
                at: self.now + delay,
                request: key,
                kind: TimerKind::Hedge,
            });
        }
    }

    /// Sends a copy of an idempotent request to a second agent with a free slot; a
    /// copy that has to queue would only add load.
    pub(crate) fn hedge(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else { return };
        if request.in_flight.len() != 1 || request.attempts >= MAX_ATTEMPTS {
            return;
        }
        let criteria = criteria(request);
        let choice = self.router.choose(&request.group, &criteria, self.now, &mut self.rng);
        let Some(choice) = choice else { return };
        let remaining = request.deadline.since(self.now);
        let is_free = choice.wait.is_zero();
        if is_free && request.expected < remaining && self.retry_budget.try_spend(self.now) {
            self.send(key, choice.node, choice.candidates);
        }
    }

    fn refuse_without_endpoint(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        let message = format!("No endpoint of the {} is in reach.", request.group);
        let refusal = self.request_refusal(key, Reason::NoEndpoint, message);
        self.finish_refused(key, refusal.with_retry_after(NO_ENDPOINT_RETRY_DELAY));
    }

    fn refuse_overloaded(&mut self, key: RequestKey, wait: Duration) {
        let message = format!("The predicted wait of {} ms passes the deadline.", wait.as_millis());
        let refusal = self.request_refusal(key, Reason::Overloaded, message);
        self.finish_refused(key, refusal.with_retry_after(wait));
    }

    /// Creates the refusal of a request that gets no further attempt; `not_run` only if
    /// no attempt may have run.
    pub(crate) fn request_refusal(
        &self,
        key: RequestKey,
        reason: Reason,
        message: String,
    ) -> Refusal {
        let request = &self.requests[key];
        let id = request.id_chosen.then(|| request.id());
        let refusal = refuse_unsent(id, reason, message);
        match request.uncertain || !request.in_flight.is_empty() {
            true => refusal.weaken(),
            false => refusal,
        }
    }
}

fn criteria(request: &Request) -> Criteria<'_> {
    Criteria { kind: request.kind(), expected: request.expected, exclude: &request.tried }
}
