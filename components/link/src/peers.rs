//! Calls to peers over connections that are opened on demand.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use ident::{Incarnation, NodeId};
use intake::Bodies;
use node::LinkError;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::{Call, Reply};

use crate::{connection::Connection, dial::dial};

/// Connections to peers, one for each.
///
/// Clones share the connections, which close when the last clone is dropped.
#[derive(Clone)]
pub struct Peers {
    node: NodeId,
    incarnation: Incarnation,
    connections: Arc<Mutex<HashMap<NodeId, ConnectionAttempt>>>,
    /// Memory for frames.
    memory: Bodies,
    closing: CancellationToken,
    _guard: Arc<DropGuard>,
}

/// Attempt to open a connection, shared by all calls to the peer.
type ConnectionAttempt = Shared<BoxFuture<'static, Option<Connection>>>;

impl Peers {
    /// Creates a client that identifies itself as `node` and reads frames into `memory`; connections
    /// open with the first calls.
    pub fn new(node: NodeId, incarnation: Incarnation, memory: Bodies) -> Peers {
        let closing = CancellationToken::new();
        let guard = Arc::new(closing.clone().drop_guard());
        let connections = Arc::default();
        Peers { node, incarnation, connections, memory, closing, _guard: guard }
    }

    /// Calls a peer and waits up to `timeout` for its reply.
    pub async fn call(
        &self,
        to: NodeId,
        call: Call,
        timeout: Duration,
    ) -> Result<Reply, LinkError> {
        let deadline = Instant::now() + timeout;
        let attempt = self.attempt(to);
        let opened = timeout_at(deadline, attempt).await.ok().flatten();
        let connection = opened.ok_or(LinkError::NotSent)?;
        let left = deadline.saturating_duration_since(Instant::now());
        connection.call(call, left).await
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.values().filter(|attempt| is_open(attempt)).count()
    }

    /// The current connection attempt to a peer, or a new one if it failed or has closed.
    fn attempt(&self, to: NodeId) -> ConnectionAttempt {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(attempt) = connections.get(&to)
            && (attempt.peek().is_none() || is_open(attempt))
        {
            return attempt.clone();
        }
        connections.retain(|_, attempt| attempt.peek().is_none() || is_open(attempt));
        let attempt = self.connect(to);
        connections.insert(to, attempt.clone());
        attempt
    }

    /// Starts an attempt in its own task, which continues when a call stops waiting for it.
    fn connect(&self, to: NodeId) -> ConnectionAttempt {
        let (memory, closing) = (self.memory.clone(), self.closing.clone());
        let task = tokio::spawn(dial(self.node, self.incarnation, to, memory, closing));
        let result = async move {
            match task.await {
                Ok(Ok(connection)) => Some(connection),
                Ok(Err(err)) => {
                    log::debug!("cannot connect to {to}: {err}");
                    None
                }
                Err(_) => None,
            }
        };
        result.boxed().shared()
    }
}

fn is_open(attempt: &ConnectionAttempt) -> bool {
    match attempt.peek() {
        Some(Some(connection)) => connection.is_open(),
        Some(None) | None => false,
    }
}
