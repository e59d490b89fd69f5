//! Performs the effects that a core returns.
//!
//! Whatever takes time runs in a spawned task, which sends its result back to the
//! actor as an event.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ident::{NodeId, RequestId, Timestamp};
use journal::LogClient;
use link::{Peers, Server};
use node::{CallToken, CallerReply, CallerToken, Decision, Effect, Event};
use register::{Record, State};
use tokio::sync::{mpsc, oneshot, watch};
use wire::{Call, Datagram};

use crate::{
    decision_log::DecisionLog,
    endpoint::{Endpoint, EndpointOptions},
    history::DecisionHistory,
    mailbox::Mailbox,
    replica::Refresh,
    shared::Shared,
    spawner::Spawner,
};

/// Performs effects; owned by the node's actor.
pub(crate) struct Shell {
    resources: Resources,
    mailbox: Mailbox,
    endpoint: Option<Endpoint>,
    history: DecisionHistory,
    callers: HashMap<CallerToken, oneshot::Sender<CallerReply>>,
    next_offset: u64,
}

/// Connections, channels and counters that effects use.
pub(crate) struct Resources {
    /// Counters, metrics and readiness.
    pub(crate) shared: Arc<Shared>,
    /// Spawns tasks that end with the node.
    pub(crate) spawner: Spawner,
    /// Outgoing connections to peers.
    pub(crate) peers: Peers,
    /// Incoming connections from peers.
    pub(crate) peer_server: Server,
    /// Queue of datagrams to send.
    pub(crate) datagrams: mpsc::Sender<Outgoing>,
    /// Client of the platform's log.
    pub(crate) log_client: LogClient,
    /// Requests to refresh the replica.
    pub(crate) refreshes: mpsc::Sender<Refresh>,
    /// Endpoint of an agent; none for an entry.
    pub(crate) endpoint: Option<EndpointOptions>,
    /// Writes decisions to the process log.
    pub(crate) decision_log: DecisionLog,
    /// Set to true once the core has stopped.
    pub(crate) stopped: watch::Sender<bool>,
}

/// A datagram to send.
pub(crate) struct Outgoing {
    /// Destination.
    pub(crate) node: NodeId,
    /// Content.
    pub(crate) datagram: Datagram,
}

impl Shell {
    /// Creates a shell that sends the results of effects to `mailbox`.
    pub(crate) fn new(mailbox: Mailbox, mut resources: Resources) -> Shell {
        let (shared, spawner) = (Arc::clone(&resources.shared), resources.spawner.clone());
        let endpoint = resources.endpoint.take();
        let endpoint = endpoint.map(|it| Endpoint::new(it, mailbox.clone(), shared, spawner));
        Shell {
            resources,
            mailbox,
            endpoint,
            history: DecisionHistory::default(),
            callers: HashMap::new(),
            next_offset: 0,
        }
    }

    /// Decisions for an id, oldest first.
    pub(crate) fn decisions(&self, id: RequestId) -> Vec<Decision> {
        self.history.decisions(id)
    }

    /// Registers a caller that waits for a reply.
    pub(crate) fn add_caller(&mut self, token: CallerToken, reply: oneshot::Sender<CallerReply>) {
        self.callers.insert(token, reply);
    }

    /// Removes a caller; returns whether it was still waiting.
    pub(crate) fn remove_caller(&mut self, token: CallerToken) -> bool {
        self.callers.remove(&token).is_some()
    }

    /// Applies a state, unless a later one was applied before.
    fn apply_state(&mut self, state: &State) {
        if state.next_offset < self.next_offset {
            return;
        }
        self.next_offset = state.next_offset;
        self.resources.shared.set_state(state);
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.configure(state);
        }
    }

    /// Updates metrics, counters and the endpoint before the core handles an event.
    pub(crate) fn observe(&mut self, now: Timestamp, event: &Event) {
        self.resources.shared.metrics().on_event(now, event);
        match event {
            Event::State { state, .. } => self.apply_state(state),
            Event::TaskEnded { token, .. } => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.end_task(*token);
                }
            }
            Event::Stop => self.resources.shared.set_stopping(),
            Event::Call { .. } => self.resources.shared.start_call(),
            Event::CallerRequest { .. }
            | Event::CallerGone { .. }
            | Event::PeerReplied { .. }
            | Event::Executed { .. }
            | Event::Datagram(_)
            | Event::Tick
            | Event::Explain { .. } => {}
        }
    }

    /// Performs an effect.
    pub(crate) fn perform(&mut self, now: Timestamp, effect: Effect) {
        self.resources.shared.metrics().on_effect(now, &effect);
        match effect {
            Effect::Respond { token, reply } => self.respond(token, reply),
            Effect::Reply { to, reply } => {
                self.resources.shared.end_call();
                self.resources.peer_server.reply(to, reply);
            }
            Effect::CallPeer { token, node, call, timeout } => {
                self.call_peer(token, node, call, timeout);
            }
            Effect::Send { node, datagram } => {
                // Datagrams are unreliable, so dropping one when the queue is full is safe.
                let _ = self.resources.datagrams.try_send(Outgoing { node, datagram });
            }
            Effect::Execute { token, run, timeout } => {
                if let Some(endpoint) = &self.endpoint {
                    endpoint.execute(token, run, timeout);
                }
            }
            Effect::StartTask { token, task } => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.start_task(token, task);
                }
            }
            Effect::RenewTask { token, lease } => {
                if let Some(endpoint) = &self.endpoint {
                    endpoint.renew_task(token, lease);
                }
            }
            Effect::StopTask { token } => {
                if let Some(endpoint) = &self.endpoint {
                    endpoint.stop_task(token);
                }
            }
            Effect::Append(record) => self.append(record),
            Effect::Refresh { peer } => {
                let _ = self.resources.refreshes.try_send(Refresh { peer });
            }
            Effect::LogDecision(decision) => self.record_decision(decision),
            Effect::Warn(text) => log::warn!("{text}"),
            Effect::Stopped => {
                self.resources.stopped.send_replace(true);
            }
        }
    }

    /// Replies to a caller, if it is still connected.
    fn respond(&mut self, token: CallerToken, reply: CallerReply) {
        if let Some(caller) = self.callers.remove(&token) {
            let _ = caller.send(reply);
        }
    }

    fn call_peer(&self, token: CallToken, node: NodeId, call: Call, timeout: Duration) {
        let peers = self.resources.peers.clone();
        let mailbox = self.mailbox.clone();
        self.resources.spawner.spawn(async move {
            let reply = peers.call(node, call, timeout).await;
            mailbox.send(Event::PeerReplied { token, reply });
        });
    }

    /// Appends a record to the log, then refreshes the replica.
    fn append(&self, record: Record) {
        let log_client = self.resources.log_client.clone();
        let refreshes = self.resources.refreshes.clone();
        let since = self.next_offset;
        self.resources.spawner.spawn(async move {
            match log_client.append_checked(&record, since).await {
                Ok(offset) => log::debug!("appended record {} at offset {offset}", record.id()),
                Err(err) => log::warn!("cannot append record {}: {err}", record.id()),
            }
            let _ = refreshes.try_send(Refresh { peer: None });
        });
    }

    fn record_decision(&mut self, decision: Decision) {
        if self.resources.decision_log.write(&decision).is_err() {
            self.resources.shared.metrics().on_dropped_line();
        }
        self.history.record(decision);
    }
}
