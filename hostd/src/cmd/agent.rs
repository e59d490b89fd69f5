//! Runs an agent.

use std::sync::Arc;

use eyre::{Context, Result};
use guard::{Guard, Options, Timing};
use mesh::Role;
use platform::{EndpointClient, Store};
use ractor::Actor;
use tokio::sync::watch;

use super::{Notice, PAGE_LIMITS, first_settings, member, required, start_metrics, wait};
use crate::{
    agent::{AgentActor, Message, Parts},
    cli::Arguments,
    clock::{unix_ms, uptime},
    datagrams::Datagrams,
    discovery::{Discovery, announce, look_up},
    heartbeats::Heartbeats,
    http::{listen, serve},
    metrics::Metrics,
    signals::Signals,
    tick,
};

/// Runs an agent until it is asked to stop.
pub(crate) async fn run(arguments: &Arguments) -> Result<()> {
    let signals = Signals::new()?;
    let path = arguments.settings_path()?;
    let settings = first_settings(&path).await?;
    let now = uptime();
    let own = member(&settings, Role::Agent);
    let incarnation = rand::random();
    log::info!(host = settings.name.as_str(), zone = settings.zone.as_str(), address:% = own.address, seeds = settings.seeds.len(), incarnation = incarnation; "an agent starts");

    let datagrams = Datagrams::bind(settings.mesh).await?;
    let heartbeats = listen(required(settings.heartbeats, "heartbeats", &settings)?)?;
    let metrics = Arc::new(Metrics::new());
    let (_open, closing) = watch::channel(false);
    start_metrics(&settings, arguments.metrics_port, &closing, &metrics)?;
    let store = Store::new(settings.store);
    let (finished, is_finished) = watch::channel(false);
    let options = Options { incarnation, token: unix_ms(), timing: Timing::default() };
    let parts = Parts {
        guard: Guard::new(now, options),
        discovery: Discovery::new(now, own.clone(), &settings, datagrams.clone(), rand::random()),
        datagrams: datagrams.clone(),
        endpoint: EndpointClient::new(),
        metrics,
        finished,
    };
    let (actor, _) = Actor::spawn(None, AgentActor, parts)
        .await
        .context("the actor of the agent cannot be started")?;

    let to = actor.clone();
    tokio::spawn(announce(store.clone(), own));
    tokio::spawn(look_up(store, move |members| to.cast(Message::Members(members)).is_ok()));
    let to = actor.clone();
    let receive = move |from, datagram| to.cast(Message::Datagram(from, datagram)).is_ok();
    tokio::spawn(datagrams.receive(receive));
    let to = actor.clone();
    tokio::spawn(tick::run(move || to.cast(Message::Tick).is_ok()));
    let service = Heartbeats::new(actor.clone());
    tokio::spawn(serve(heartbeats, PAGE_LIMITS, closing, move |request| {
        service.clone().handle(request)
    }));

    let tell = |notice| {
        let message = match notice {
            Notice::Settings(settings) => Message::Settings(settings),
            Notice::Stop => Message::Stop,
        };
        // The actor is gone only when the process ends.
        let _ = actor.cast(message);
    };
    wait(&path, signals, settings, is_finished, tell).await;
    Ok(())
}
