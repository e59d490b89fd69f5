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
    inbox::{Inbox, Message},
    lines::Lines,
    shared::{Progress, Shared},
    tasks::Tasks,
};

/// Longest wait for pending replies, and for pending log lines, to be written.
const FLUSH_LIMIT: Duration = Duration::from_secs(1);
/// Delay before connections close, so that the last replies reach their peers.
const LINGER: Duration = Duration::from_millis(100);
/// Longest wait for the core to stop once callers have been answered.
const STOP_LIMIT: Duration = Duration::from_secs(120);

/// A running node; dropping the handle ends the node at once, as a crash would.
pub struct Running {
    pub(crate) node: NodeId,
    pub(crate) http: Option<SocketAddr>,
    pub(crate) front: Option<Serving>,
    pub(crate) actor: ActorRef<Message>,
    pub(crate) handle: Option<JoinHandle<()>>,
    pub(crate) inbox: Inbox,
    pub(crate) peers: Peers,
    pub(crate) server: Server,
    pub(crate) socket: Arc<Socket>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) tasks: Tasks,
    pub(crate) lines: Lines,
    pub(crate) stopped: watch::Receiver<bool>,
}

/// Reads the work in progress on a node; clones share it.
#[derive(Clone)]
pub struct ProgressHandle {
    shared: Arc<Shared>,
    front: Option<HttpServer>,
}

/// The HTTP server of a node.
pub(crate) struct Serving {
    front: HttpServer,
    stop: CancellationToken,
    ended: watch::Receiver<bool>,
}

impl Running {
    /// Id of the node.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Address of its HTTP server, if it has one.
    pub fn http(&self) -> Option<SocketAddr> {
        self.http
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
        let front = self.front.as_ref().map(|serving| serving.front.clone());
        ProgressHandle { shared: Arc::clone(&self.shared), front }
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
        if let Some(front) = &mut self.front {
            front.stop.cancel();
            let _ = front.ended.wait_for(|ended| *ended).await;
        }
        self.inbox.send(Event::Stop);
        let finished = self.stopped.wait_for(|stopped| *stopped);
        let finished = timeout(STOP_LIMIT, finished).await.is_ok_and(|result| result.is_ok());
        self.server.flush(FLUSH_LIMIT).await;
        self.lines.flush(FLUSH_LIMIT).await;
        sleep(LINGER).await;
        self.end();
        finished
    }

    /// Waits until the node's actor ends, which without a stop means that it failed.
    pub async fn failed(&mut self) {
        if let Some(handle) = &mut self.handle {
            let _ = handle.await;
            self.handle = None;
        }
    }

    /// Starts the HTTP server, which runs until the node stops.
    pub(crate) fn serve(&mut self, listener: TcpListener, front: HttpServer) {
        self.http = listener.local_addr().ok();
        let stop = CancellationToken::new();
        let (sender, ended) = watch::channel(false);
        let stopping = stop.clone();
        let served = front.clone();
        self.tasks.spawn(async move {
            front::serve(listener, served, stopping.cancelled_owned()).await;
            sender.send_replace(true);
        });
        self.front = Some(Serving { front, stop, ended });
    }

    fn end(&self) {
        self.tasks.end();
        self.actor.kill();
    }
}

impl ProgressHandle {
    /// Work in progress on the node.
    pub fn read(&self) -> Progress {
        Progress {
            requests: self.front.as_ref().map_or(0, HttpServer::in_progress),
            calls: self.shared.calls(),
            runs: self.shared.runs(),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end();
    }
}
