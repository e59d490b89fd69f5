//! Starts nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::{Context, Result};
use front::{Front, Limits, Pages};
use ident::{Incarnation, NodeId, Timestamp};
use journal::Journal;
use link::{Incoming, Peers, Server, udp::Socket};
use metrics::Gauges;
use node::Event;
use ractor::Actor;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    actor::{Arguments, NodeActor},
    core::Core,
    endpoint::Beside,
    inbox::Inbox,
    lines::Lines,
    listen::{AgentListeners, EntryListeners, NodeListeners},
    options::{AgentOptions, EntryOptions},
    replica::{Replica, new_follower},
    running::Running,
    shared::Shared,
    shell::{Outgoing, Parts},
    tasks::Tasks,
};

/// Time between two ticks of a core.
const TICK: Duration = Duration::from_millis(10);
/// Calls of peers that may wait to be passed on.
const MAX_CALLS: usize = 1024;
/// Datagrams that may wait to be sent.
const MAX_DATAGRAMS: usize = 4096;
/// Requests for news that may wait.
const MAX_REFRESHES: usize = 16;
/// Pause after the socket for datagrams has failed.
const SOCKET_PAUSE: Duration = Duration::from_millis(50);

/// Starts an entry.
pub async fn start_entry(options: EntryOptions, listeners: EntryListeners) -> Result<Running> {
    let identity = Identity::new(&listeners.node);
    let node = identity.node;
    let mut seeds = options.seeds;
    seeds.retain(|seed| *seed != node);
    let core = entry::Entry::new(entry::Options {
        node,
        incarnation: identity.incarnation,
        availability_zone: options.availability_zone,
        seeds: seeds.clone(),
        seed: options.seed,
    });
    let role = Role { core: Core::Entry(Box::new(core)), log: options.log, seeds, beside: None };
    let (mut running, replica) = start(identity, role, listeners.node).await?;
    running.tasks.spawn(replica.tail());
    serve_callers(&mut running, listeners.http, options.limits);
    Ok(running)
}

/// Starts an agent.
pub async fn start_agent(options: AgentOptions, listeners: AgentListeners) -> Result<Running> {
    let identity = Identity::new(&listeners.node);
    let core = agent::Agent::new(agent::Options {
        node: identity.node,
        incarnation: identity.incarnation,
        name: options.name.clone(),
        group: options.group.clone(),
        availability_zone: options.availability_zone,
        seeds: options.seeds.clone(),
        seed: options.seed,
    });
    let beside = Beside { name: options.name, group: options.group, address: options.endpoint };
    let role = Role {
        core: Core::Agent(Box::new(core)),
        log: options.log,
        seeds: options.seeds,
        beside: Some(beside),
    };
    let (mut running, replica) = start(identity, role, listeners.node).await?;
    running.tasks.spawn(replica.poll());
    if let Some(http) = listeners.pages {
        serve_pages(&mut running, http);
    }
    Ok(running)
}

/// Who a node is.
#[derive(Debug, Clone, Copy)]
struct Identity {
    node: NodeId,
    incarnation: Incarnation,
}

/// What distinguishes the roles.
struct Role {
    core: Core,
    log: SocketAddr,
    seeds: Vec<NodeId>,
    beside: Option<Beside>,
}

impl Identity {
    /// A node that listens from now on.
    fn new(listeners: &NodeListeners) -> Identity {
        Identity { node: listeners.node(), incarnation: Incarnation(Timestamp::now()) }
    }
}

/// Starts a node's actor and the tasks that feed it.
async fn start(
    identity: Identity,
    role: Role,
    listeners: NodeListeners,
) -> Result<(Running, Replica)> {
    let Identity { node, incarnation } = identity;
    let socket = Arc::new(Socket::new(listeners.udp));
    let peers = Peers::new(node, incarnation);
    let server = Server::new(node, incarnation);
    let journal = Journal::new(role.log);
    let shared = Arc::new(Shared::new());
    let tasks = Tasks::default();
    let lines = Lines::start()?;
    let (datagrams, outgoing) = mpsc::channel(MAX_DATAGRAMS);
    let (refreshes, asked) = mpsc::channel(MAX_REFRESHES);
    let (stopped, is_stopped) = watch::channel(false);
    let parts = Parts {
        shared: Arc::clone(&shared),
        tasks: tasks.clone(),
        peers: peers.clone(),
        server: server.clone(),
        datagrams,
        journal: journal.clone(),
        refreshes,
        beside: role.beside,
        lines: lines.clone(),
        stopped,
    };
    let arguments = Arguments { core: role.core, parts };
    let (actor, handle) = Actor::spawn(None, NodeActor, arguments)
        .await
        .context("the actor of the node cannot be started")?;
    let inbox = Inbox::new(actor.clone());

    tasks.spawn(accept_calls(server.clone(), listeners.tcp, inbox.clone()));
    tasks.spawn(send_datagrams(Arc::clone(&socket), outgoing));
    tasks.spawn(receive_datagrams(Arc::clone(&socket), inbox.clone()));
    tasks.spawn(tick(inbox.clone()));
    let replica = Replica {
        follower: new_follower(),
        journal,
        peers: peers.clone(),
        rank: rank(node, &role.seeds),
        seeds: role.seeds,
        inbox: inbox.clone(),
        tasks: tasks.clone(),
        refreshes: asked,
        next_seed: 0,
        outage: false,
    };
    let running = Running {
        node,
        http: None,
        front: None,
        actor,
        handle: Some(handle),
        inbox,
        peers,
        server,
        socket,
        shared,
        tasks,
        lines,
        stopped: is_stopped,
    };
    Ok((running, replica))
}

/// Position of an entry among those that it was told of.
fn rank(node: NodeId, seeds: &[NodeId]) -> usize {
    seeds.iter().filter(|seed| **seed < node).count()
}

async fn accept_calls(server: Server, listener: TcpListener, inbox: Inbox) {
    let (sender, mut calls) = mpsc::channel(MAX_CALLS);
    let pass_on = async {
        while let Some(Incoming { from, peer, call }) = calls.recv().await {
            inbox.send_from_peer(Event::Call { from, peer, call }).await;
        }
    };
    tokio::select! {
        () = server.serve(listener, sender) => {}
        () = pass_on => {}
    }
}

async fn send_datagrams(socket: Arc<Socket>, mut outgoing: mpsc::Receiver<Outgoing>) {
    while let Some(Outgoing { node, datagram }) = outgoing.recv().await {
        if let Err(err) = socket.send(node, &datagram).await {
            log::debug!("a datagram to {node} was not sent: {err}");
        }
    }
}

async fn receive_datagrams(socket: Arc<Socket>, inbox: Inbox) {
    loop {
        match socket.receive().await {
            Ok(datagram) => inbox.send_from_peer(Event::Datagram(datagram)).await,
            Err(err) => {
                log::warn!("the socket for datagrams failed: {err}");
                sleep(SOCKET_PAUSE).await;
            }
        }
    }
}

async fn tick(inbox: Inbox) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        inbox.tick();
    }
}

/// Serves the API on `http`.
fn serve_callers(running: &mut Running, http: TcpListener, limits: Limits) {
    let inbox = running.inbox.clone();
    let sink = move |report| inbox.send_from_caller(report);
    let front = Front::new(sink, pages(running), limits);
    running.serve(http, front);
}

/// Serves only the pages for health and metrics on `http`.
fn serve_pages(running: &mut Running, http: TcpListener) {
    let front = Front::pages_only(pages(running), Limits::default());
    running.serve(http, front);
}

fn pages(running: &Running) -> Pages {
    let readiness = {
        let shared = Arc::clone(&running.shared);
        move || shared.readiness()
    };
    let metrics = {
        let shared = Arc::clone(&running.shared);
        let (peers, server) = (running.peers.clone(), running.server.clone());
        let socket = Arc::clone(&running.socket);
        move || {
            let metrics = shared.metrics();
            metrics.set_gauges(Gauges {
                connections: peers.open_connections() + server.open_connections(),
                malformed: socket.malformed(),
            });
            metrics.render()
        }
    };
    Pages::new(readiness, metrics)
}
