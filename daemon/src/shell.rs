//! Carries out the effects that a core asks for.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ident::{NodeId, RequestId, Timestamp};
use journal::Journal;
use link::{Peers, Server};
use node::{CallToken, CallerReply, CallerToken, Decision, Effect, Event};
use register::{Record, State};
use tokio::sync::{mpsc, oneshot, watch};
use wire::{Call, Datagram};

use crate::{
    endpoint::{Beside, Endpoint},
    explain::Explain,
    inbox::Inbox,
    lines::Lines,
    replica::Refresh,
    shared::Shared,
    tasks::Tasks,
};

/// Carries out effects; owned by the node's actor.
pub(crate) struct Shell {
    parts: Parts,
    inbox: Inbox,
    endpoint: Option<Endpoint>,
    explain: Explain,
    callers: HashMap<CallerToken, oneshot::Sender<CallerReply>>,
    next_offset: u64,
}

/// What effects are carried out with.
pub(crate) struct Parts {
    /// Counts and metrics.
    pub(crate) shared: Arc<Shared>,
    /// Spawns what takes time.
    pub(crate) tasks: Tasks,
    /// Connections to peers.
    pub(crate) peers: Peers,
    /// Connections from peers.
    pub(crate) server: Server,
    /// Datagrams on their way to the socket.
    pub(crate) datagrams: mpsc::Sender<Outgoing>,
    /// The platform's log.
    pub(crate) journal: Journal,
    /// Requests for news of the state.
    pub(crate) refreshes: mpsc::Sender<Refresh>,
    /// The endpoint beside an agent.
    pub(crate) beside: Option<Beside>,
    /// Log lines of decisions.
    pub(crate) lines: Lines,
    /// Set when the core has stopped.
    pub(crate) stopped: watch::Sender<bool>,
}

/// A datagram on its way to the socket.
pub(crate) struct Outgoing {
    /// Node to send to.
    pub(crate) node: NodeId,
    /// What to send.
    pub(crate) datagram: Datagram,
}

impl Shell {
    /// Sends what follows from effects to `inbox`.
    pub(crate) fn new(inbox: Inbox, mut parts: Parts) -> Shell {
        let (shared, tasks) = (Arc::clone(&parts.shared), parts.tasks.clone());
        let beside = parts.beside.take();
        let endpoint = beside.map(|it| Endpoint::new(it, inbox.clone(), shared, tasks));
        Shell {
            parts,
            inbox,
            endpoint,
            explain: Explain::default(),
            callers: HashMap::new(),
            next_offset: 0,
        }
    }

    /// Decisions about an id, oldest first.
    pub(crate) fn decisions(&self, id: RequestId) -> Vec<Decision> {
        self.explain.decisions(id)
    }

    /// Remembers a caller that waits for a reply.
    pub(crate) fn add_caller(&mut self, token: CallerToken, reply: oneshot::Sender<CallerReply>) {
        self.callers.insert(token, reply);
    }

    /// Forgets a caller; returns whether it still waited.
    pub(crate) fn remove_caller(&mut self, token: CallerToken) -> bool {
        self.callers.remove(&token).is_some()
    }

    fn note_state(&mut self, state: &State) {
        if state.next_offset < self.next_offset {
            return;
        }
        self.next_offset = state.next_offset;
        self.parts.shared.set_state(state);
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.configure(state);
        }
    }

    /// Takes note of an event on its way to the core.
    pub(crate) fn note(&mut self, now: Timestamp, event: &Event) {
        self.parts.shared.metrics().on_event(now, event);
        match event {
            Event::State { state, .. } => self.note_state(state),
            Event::TaskEnded { token, .. } => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.end_task(*token);
                }
            }
            Event::Stop => self.parts.shared.set_stopping(),
            Event::Call { .. } => self.parts.shared.start_call(),
            Event::CallerRequest { .. }
            | Event::CallerGone { .. }
            | Event::PeerReplied { .. }
            | Event::Executed { .. }
            | Event::Datagram(_)
            | Event::Tick
            | Event::Explain { .. } => {}
        }
    }

    /// Carries out an effect.
    pub(crate) fn carry_out(&mut self, now: Timestamp, effect: Effect) {
        self.parts.shared.metrics().on_effect(now, &effect);
        match effect {
            Effect::Respond { token, reply } => self.respond(token, reply),
            Effect::Reply { to, reply } => {
                self.parts.shared.end_call();
                self.parts.server.reply(to, reply);
            }
            Effect::CallPeer { token, node, call, timeout } => {
                self.call_peer(token, node, call, timeout);
            }
            Effect::Send { node, datagram } => {
                // A datagram may be lost on any path, so also on this one.
                let _ = self.parts.datagrams.try_send(Outgoing { node, datagram });
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
                let _ = self.parts.refreshes.try_send(Refresh { peer });
            }
            Effect::LogDecision(decision) => self.decide(decision),
            Effect::Warn(text) => log::warn!("{text}"),
            Effect::Stopped => {
                self.parts.stopped.send_replace(true);
            }
        }
    }

    /// Answers a caller that still waits.
    fn respond(&mut self, token: CallerToken, reply: CallerReply) {
        if let Some(caller) = self.callers.remove(&token) {
            let _ = caller.send(reply);
        }
    }

    fn call_peer(&self, token: CallToken, node: NodeId, call: Call, timeout: Duration) {
        let peers = self.parts.peers.clone();
        let inbox = self.inbox.clone();
        self.parts.tasks.spawn(async move {
            let reply = peers.call(node, call, timeout).await;
            inbox.send(Event::PeerReplied { token, reply });
        });
    }

    /// Appends a record and reads the log as soon as it is there.
    fn append(&self, record: Record) {
        let journal = self.parts.journal.clone();
        let refreshes = self.parts.refreshes.clone();
        let since = self.next_offset;
        self.parts.tasks.spawn(async move {
            match journal.append_checked(&record, since).await {
                Ok(offset) => log::debug!("record {} has offset {offset}", record.id()),
                Err(err) => log::warn!("record {}: {err}", record.id()),
            }
            let _ = refreshes.try_send(Refresh { peer: None });
        });
    }

    fn decide(&mut self, decision: Decision) {
        if self.parts.lines.write(&decision).is_err() {
            self.parts.shared.metrics().on_dropped_line();
        }
        self.explain.keep(decision);
    }
}
