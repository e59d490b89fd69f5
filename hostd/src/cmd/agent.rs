//! The `agent` command.

use eyre::{Context, Result};
use guard::{Guard, Options, Timing};
use intake::Bodies;
use mesh::Role;
use platform::EndpointClient;
use ractor::Actor;
use tokio::sync::watch;

use super::{Input, Process, internal_port};
use crate::{
    agent::{AgentActor, Dependencies, Message},
    cli::Arguments,
    clock::unix_ms,
    evacuations::follow_evacuations,
    heartbeats::HeartbeatService,
    http::serve,
};

/// Runs an agent until it has shut down.
pub(crate) async fn run(arguments: &Arguments) -> Result<()> {
    let process = Process::start(arguments, Role::Agent).await?;
    let internal_connections = process.shares.internal_connections;
    let heartbeats =
        process.listen(process.settings.heartbeats, internal_connections, "heartbeats")?;
    let (finished, is_finished) = watch::channel(false);
    let options = Options {
        incarnation: process.incarnation,
        fencing_token: unix_ms(),
        timing: Timing::default(),
    };
    let (follows_evacuations, active) = watch::channel(process.settings.evacuation.is_some());
    let deps = Dependencies {
        guard: Guard::new(process.started, options),
        discovery: process.discovery(),
        evacuations: process.evacuations(),
        follows_evacuations,
        started: process.started,
        datagrams: process.datagrams.clone(),
        endpoint: EndpointClient::new(),
        metrics: process.metrics.clone(),
        finished,
    };
    let (actor, _) = Actor::spawn(None, AgentActor, deps)
        .await
        .context("the actor of the agent cannot be started")?;

    let evacuation_actor = actor.clone();
    let sink = move |state| {
        let message = Message::Input(Input::Evacuations(state));
        evacuation_actor.cast(message).is_ok()
    };
    tokio::spawn(follow_evacuations(process.store.clone(), active, sink));
    let bodies = Bodies::new(process.shares.body_bytes);
    let service = HeartbeatService::new(actor.clone(), bodies, process.metrics.clone());
    let handle = move |request, origin| service.clone().handle(request, origin);
    let port = internal_port("heartbeats", &process.shares, &process.metrics);
    tokio::spawn(serve(heartbeats, port, process.closing.clone(), handle));
    process.run(is_finished, move |input| actor.cast(Message::Input(input)).is_ok()).await;
    Ok(())
}
