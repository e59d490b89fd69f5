//! Assembles and starts the nodes of both roles.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::{Context, Result};
use front::{HttpServer, Limits, Pages};
use ident::{Incarnation, NodeId, Timestamp};
use intake::{Bodies, Shares};
use journal::LogClient;
use link::{
    IncomingCall, Peers, Server,
    udp::{MAX_DATAGRAM_BYTES, Socket},
};
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
    decision_log::DecisionLog,
    endpoint::EndpointOptions,
    handle::NodeHandle,
    listen::{AgentListeners, EntryListeners, NodeListeners},
    mailbox::Mailbox,
    options::{AgentOptions, EntryOptions},
    replica::{Replica, new_follower},
    shared::Shared,
    shell::{Outgoing, Resources},
    spawner::Spawner,
};

/// Interval between tick events of a core.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Calls from peers that may be queued before they reach the actor.
const MAX_QUEUED_CALLS: usize = 1024;
/// Datagrams that may be queued for sending.
const MAX_QUEUED_DATAGRAMS: usize = 4096;
/// Refresh requests that may be queued.
const MAX_QUEUED_REFRESHES: usize = 16;
/// Delay before the next receive after the UDP socket reported an error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Starts an entry.
pub async fn start_entry(options: EntryOptions, listeners: EntryListeners) -> Result<NodeHandle> {
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
    let role = RoleOptions {
        core: Core::Entry(Box::new(core)),
        log: options.log,
        seeds,
        endpoint: None,
        shares: options.shares,
    };
    let (mut handle, replica) = start(identity, role, listeners.node).await?;
    handle.spawner.spawn(replica.tail());
    serve_callers(&mut handle, listeners.http, options.limits);
    Ok(handle)
}

/// Starts an agent.
pub async fn start_agent(options: AgentOptions, listeners: AgentListeners) -> Result<NodeHandle> {
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
    let endpoint =
        EndpointOptions { name: options.name, group: options.group, address: options.endpoint };
    let role = RoleOptions {
        core: Core::Agent(Box::new(core)),
        log: options.log,
        seeds: options.seeds,
        endpoint: Some(endpoint),
        shares: options.shares,
    };
    let (mut handle, replica) = start(identity, role, listeners.node).await?;
    handle.spawner.spawn(replica.poll());
    if let Some(http) = listeners.pages {
        serve_pages(&mut handle, http, &options.shares);
    }
    Ok(handle)
}

/// Address and incarnation of a node.
#[derive(Debug, Clone, Copy)]
struct Identity {
    node: NodeId,
    incarnation: Incarnation,
}

/// Parts in which entries and agents differ.
struct RoleOptions {
    core: Core,
    log: SocketAddr,
    seeds: Vec<NodeId>,
    endpoint: Option<EndpointOptions>,
    shares: Shares,
}

impl Identity {
    /// Creates the identity of a node whose incarnation starts now.
    fn new(listeners: &NodeListeners) -> Identity {
        Identity { node: listeners.node(), incarnation: Incarnation(Timestamp::now()) }
    }
}

/// Starts a node's actor and the tasks that send it events.
async fn start(
    identity: Identity,
    role: RoleOptions,
    listeners: NodeListeners,
) -> Result<(NodeHandle, Replica)> {
    let Identity { node, incarnation } = identity;
    let socket = Arc::new(Socket::new(listeners.udp));
    let (Shares { request_bytes, message_bytes, .. }, peer_connections) =
        role.shares.without_peers();
    let memory = Bodies::new(request_bytes);
    let peers = Peers::new(node, incarnation, memory.clone());
    let peer_server = Server::new(node, incarnation, peer_connections, memory);
    let log_client = LogClient::new(role.log);
    let shared = Arc::new(Shared::new());
    let spawner = Spawner::default();
    let decision_log = DecisionLog::start()?;
    let (datagrams, outgoing) = mpsc::channel(MAX_QUEUED_DATAGRAMS);
    let (refreshes, refresh_requests) = mpsc::channel(MAX_QUEUED_REFRESHES);
    let (stopped, stop_receiver) = watch::channel(false);
    let resources = Resources {
        shared: Arc::clone(&shared),
        spawner: spawner.clone(),
        peers: peers.clone(),
        peer_server: peer_server.clone(),
        datagrams,
        log_client: log_client.clone(),
        refreshes,
        endpoint: role.endpoint,
        decision_log: decision_log.clone(),
        stopped,
    };
    let arguments = Arguments { core: role.core, resources };
    let (actor, actor_task) =
        Actor::spawn(None, NodeActor, arguments).await.context("cannot start the node's actor")?;
    let mailbox = Mailbox::new(actor.clone(), message_bytes / MAX_DATAGRAM_BYTES);

    spawner.spawn(accept_calls(peer_server.clone(), listeners.tcp, mailbox.clone()));
    spawner.spawn(send_datagrams(Arc::clone(&socket), outgoing));
    spawner.spawn(receive_datagrams(Arc::clone(&socket), mailbox.clone()));
    spawner.spawn(tick(mailbox.clone()));
    let replica = Replica {
        follower: new_follower(),
        log_client,
        peers: peers.clone(),
        rank: snapshot_rank(node, &role.seeds),
        seeds: role.seeds,
        mailbox: mailbox.clone(),
        spawner: spawner.clone(),
        refreshes: refresh_requests,
        next_seed: 0,
        outage: false,
    };
    let handle = NodeHandle {
        node,
        http_address: None,
        http_server: None,
        actor,
        actor_task: Some(actor_task),
        mailbox,
        peers,
        peer_server,
        socket,
        shared,
        spawner,
        decision_log,
        stopped: stop_receiver,
    };
    Ok((handle, replica))
}

/// Number of seeds that sort before this node, which staggers the entries' snapshots.
fn snapshot_rank(node: NodeId, seeds: &[NodeId]) -> usize {
    seeds.iter().filter(|seed| **seed < node).count()
}

/// Passes calls from peers to the actor.
async fn accept_calls(server: Server, listener: TcpListener, mailbox: Mailbox) {
    let (sender, mut calls) = mpsc::channel(MAX_QUEUED_CALLS);
    let forward_calls = async {
        while let Some(IncomingCall { from, peer, call, memory }) = calls.recv().await {
            mailbox.send_from_peer(Event::Call { from, peer, call }, Some(memory)).await;
        }
    };
    tokio::select! {
        () = server.serve(listener, sender) => {}
        () = forward_calls => {}
    }
}

async fn send_datagrams(socket: Arc<Socket>, mut outgoing: mpsc::Receiver<Outgoing>) {
    while let Some(Outgoing { node, datagram }) = outgoing.recv().await {
        if let Err(err) = socket.send(node, &datagram).await {
            log::debug!("cannot send a datagram to {node}: {err}");
        }
    }
}

async fn receive_datagrams(socket: Arc<Socket>, mailbox: Mailbox) {
    loop {
        match socket.receive().await {
            Ok(datagram) => mailbox.send_from_peer(Event::Datagram(datagram), None).await,
            Err(err) => {
                log::warn!("cannot receive datagrams: {err}");
                sleep(RECEIVE_RETRY_DELAY).await;
            }
        }
    }
}

/// Sends ticks to the core; missed ticks are skipped, not made up for.
async fn tick(mailbox: Mailbox) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        mailbox.tick();
    }
}

/// Serves the HTTP API and the monitoring pages on `http`.
fn serve_callers(handle: &mut NodeHandle, http: TcpListener, limits: Limits) {
    let mailbox = handle.mailbox.clone();
    let sink = move |event| mailbox.send_caller_event(event);
    let server = HttpServer::new(sink, pages(handle), limits);
    handle.serve(http, server);
}

/// Serves only the monitoring pages on `http`.
fn serve_pages(handle: &mut NodeHandle, http: TcpListener, shares: &Shares) {
    let limits = Limits { connections: shares.internal_connections, ..Limits::of(shares) };
    let server = HttpServer::pages_only(pages(handle), limits);
    handle.serve(http, server);
}

fn pages(handle: &NodeHandle) -> Pages {
    let readiness = {
        let shared = Arc::clone(&handle.shared);
        move || shared.readiness()
    };
    let metrics = {
        let shared = Arc::clone(&handle.shared);
        let (peers, peer_server) = (handle.peers.clone(), handle.peer_server.clone());
        let socket = Arc::clone(&handle.socket);
        move || {
            let metrics = shared.metrics();
            metrics.set_gauges(Gauges {
                connections: peers.open_connections() + peer_server.open_connections(),
                malformed: socket.malformed(),
            });
            metrics.render()
        }
    };
    Pages::new(readiness, metrics)
}
