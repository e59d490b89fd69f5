//! Handle of a started node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use front::HttpServer;
use ident::NodeId;
use link::{Peers, Server, udp::Socket};
use node::Event;
use ractor::ActorRef;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    decision_log::DecisionLog,
    mailbox::{Mailbox, Message},
    shared::{Progress, Shared},
    spawner::Spawner,
};

/// Longest wait for pending replies, and for pending log lines, to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before connections close, so that the last replies reach their peers.
const CLOSE_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for the core to stop once callers have been answered.
const STOP_TIMEOUT: Duration = Duration::from_secs(120);

/// A running node; dropping the handle ends the node at once, as a crash would.
pub struct NodeHandle {
    pub(crate) node: NodeId,
    pub(crate) http_address: Option<SocketAddr>,
    pub(crate) http_server: Option<HttpHandle>,
    pub(crate) actor: ActorRef<Message>,
    pub(crate) actor_task: Option<JoinHandle<()>>,
    pub(crate) mailbox: Mailbox,
    pub(crate) peers: Peers,
    pub(crate) peer_server: Server,
    pub(crate) socket: Arc<Socket>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) spawner: Spawner,
    pub(crate) decision_log: DecisionLog,
    pub(crate) stopped: watch::Receiver<bool>,
}

/// Reads the work in progress on a node; clones share it.
#[derive(Clone)]
pub struct ProgressHandle {
    shared: Arc<Shared>,
    http_server: Option<HttpServer>,
}

/// A running HTTP server, which can be stopped.
pub(crate) struct HttpHandle {
    server: HttpServer,
    stop: CancellationToken,
    ended: watch::Receiver<bool>,
}

impl NodeHandle {
    /// Id of the node.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Address of its HTTP server, if it has one.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.http_address
    }

    /// Version of the configuration in force on the node; 0 for none.
    pub fn version(&self) -> u64 {
        self.shared.readiness().version
    }

    /// Whether the node can serve requests.
    pub fn is_ready(&self) -> bool {
        self.shared.readiness().ready
    }

    /// Work in progress on the node.
    pub fn progress(&self) -> Progress {
        self.progress_handle().read()
    }

    /// Handle that reads the work in progress, also while the node stops.
    pub fn progress_handle(&self) -> ProgressHandle {
        let http_server = self.http_server.as_ref().map(|it| it.server.clone());
        ProgressHandle { shared: Arc::clone(&self.shared), http_server }
    }

    /// Metrics of the node in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.shared.metrics().render()
    }

    /// Stops the node gracefully; returns whether the core finished its work in time.
    ///
    /// Callers are answered first, because their answers need a running core.
    pub async fn stop(&mut self) -> bool {
        self.shared.set_stopping();
        if let Some(http) = &mut self.http_server {
            http.stop.cancel();
            let _ = http.ended.wait_for(|ended| *ended).await;
        }
        self.mailbox.send(Event::Stop);
        let finished = self.stopped.wait_for(|stopped| *stopped);
        let finished = timeout(STOP_TIMEOUT, finished).await.is_ok_and(|result| result.is_ok());
        self.peer_server.flush(FLUSH_TIMEOUT).await;
        self.decision_log.flush(FLUSH_TIMEOUT).await;
        sleep(CLOSE_DELAY).await;
        self.end();
        finished
    }

    /// Waits until the node's actor ends, which without a stop means that it failed.
    pub async fn wait_for_failure(&mut self) {
        if let Some(task) = &mut self.actor_task {
            let _ = task.await;
            self.actor_task = None;
        }
    }

    /// Starts the HTTP server, which runs until the node stops.
    pub(crate) fn serve(&mut self, listener: TcpListener, server: HttpServer) {
        self.http_address = listener.local_addr().ok();
        let stop = CancellationToken::new();
        let (sender, ended) = watch::channel(false);
        let stopping = stop.clone();
        let served = server.clone();
        self.spawner.spawn(async move {
            front::serve(listener, served, stopping.cancelled_owned()).await;
            sender.send_replace(true);
        });
        self.http_server = Some(HttpHandle { server, stop, ended });
    }

    fn end(&self) {
        self.spawner.cancel_all();
        self.actor.kill();
    }
}

impl ProgressHandle {
    /// Work in progress on the node.
    pub fn read(&self) -> Progress {
        Progress {
            requests: self.http_server.as_ref().map_or(0, HttpServer::in_progress),
            calls: self.shared.calls(),
            runs: self.shared.runs(),
        }
    }
}

impl Drop for NodeHandle {
    fn drop(&mut self) {
        self.end();
    }
}
