//! Runs an entry.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use broker::{Broker, Limits, Options, RUNS_OVER_MS};
use eyre::{Context, Result};
use hyper::StatusCode;
use mesh::Role;
use platform::{Operator, READINESS_PATH, Store};
use ractor::Actor;
use tokio::{sync::watch, time::sleep};

use super::{Notice, PAGE_LIMITS, first_settings, member, required, start_metrics, wait};
use crate::{
    callers::Callers,
    cli::Arguments,
    clock::uptime,
    config::{InForce, follow},
    datagrams::Datagrams,
    discovery::{Discovery, announce, look_up},
    entry::{EntryActor, Message, Parts},
    http::{ConnectionLimits, error, json, listen, serve},
    metrics::Metrics,
    signals::Signals,
    tick,
};

/// Time after which a stopping entry closes its callers' connections; by then the balancer
/// has found it not ready twice and sends no new ones.
const CLOSE_AFTER: Duration = Duration::from_millis(2_200);
/// Connections of callers; each takes a descriptor and up to 16 KB.
const MAX_CONNECTIONS: usize = 3_000;

/// Runs an entry until it is asked to stop.
pub(crate) async fn run(arguments: &Arguments) -> Result<()> {
    let signals = Signals::new()?;
    let path = arguments.settings_path()?;
    let settings = first_settings(&path).await?;
    let now = uptime();
    let own = member(&settings, Role::Entry);
    let incarnation = rand::random();
    log::info!(host = settings.name.as_str(), zone = settings.zone.as_str(), address:% = own.address, seeds = settings.seeds.len(), incarnation = incarnation; "an entry starts");

    let datagrams = Datagrams::bind(settings.mesh).await?;
    let callers = listen(required(settings.callers, "callers", &settings)?)?;
    let readiness = listen(required(settings.readiness, "readiness", &settings)?)?;
    let metrics = Arc::new(Metrics::new());
    let (close, closing) = watch::channel(false);
    start_metrics(&settings, arguments.metrics_port, &closing, &metrics)?;
    let store = Store::new(settings.store);
    let in_force = Arc::new(InForce::default());
    let ready = Arc::new(AtomicBool::new(false));
    let stopping = Arc::new(AtomicBool::new(false));
    let (finished, is_finished) = watch::channel(false);
    let options = Options {
        incarnation,
        zone: settings.zone.clone(),
        seed: rand::random(),
        runs_over: RUNS_OVER_MS,
    };
    let parts = Parts {
        broker: Broker::new(now, options),
        discovery: Discovery::new(now, own.clone(), &settings, datagrams.clone(), rand::random()),
        datagrams: datagrams.clone(),
        metrics: Arc::clone(&metrics),
        ready: Arc::clone(&ready),
        finished,
    };
    let (actor, _) = Actor::spawn(None, EntryActor, parts)
        .await
        .context("the actor of the entry cannot be started")?;

    let operator = Operator::new(store.clone());
    tokio::spawn(follow(operator, Arc::clone(&in_force), Arc::clone(&metrics)));
    let to = actor.clone();
    tokio::spawn(announce(store.clone(), own));
    tokio::spawn(look_up(store, move |members| to.cast(Message::Members(members)).is_ok()));
    let to = actor.clone();
    let receive = move |from, datagram| to.cast(Message::Datagram(from, datagram)).is_ok();
    tokio::spawn(datagrams.receive(receive));
    let to = actor.clone();
    tokio::spawn(tick::run(move || to.cast(Message::Tick).is_ok()));

    let limits = Limits::default();
    let limits = ConnectionLimits {
        connections: MAX_CONNECTIONS,
        header_time: Duration::from_millis(limits.idle_time),
        header_bytes: limits.header_bytes,
    };
    let service =
        Callers::new(actor.clone(), Arc::clone(&in_force), metrics, Arc::clone(&stopping));
    let handle = move |request| service.clone().handle(request);
    tokio::spawn(serve(callers, limits, closing.clone(), handle));
    let (_open, never) = watch::channel(false);
    tokio::spawn(serve(readiness, PAGE_LIMITS, never, move |request| {
        let is_ready = ready.load(Ordering::Relaxed) && in_force.read().is_some();
        async move {
            match (request.uri().path(), is_ready) {
                (READINESS_PATH, true) => json(StatusCode::OK, b"{}".to_vec()),
                (READINESS_PATH, false) => error(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
                _ => error(StatusCode::NOT_FOUND, "only readiness is served here"),
            }
        }
    }));

    let tell = |notice| {
        let message = match notice {
            Notice::Settings(settings) => Message::Settings(settings),
            Notice::Stop => {
                stopping.store(true, Ordering::Relaxed);
                let close = close.clone();
                tokio::spawn(async move {
                    sleep(CLOSE_AFTER).await;
                    close.send_replace(true);
                });
                Message::Stop
            }
        };
        // The actor is gone only when the process ends.
        let _ = actor.cast(message);
    };
    wait(&path, signals, settings, is_finished, tell).await;
    Ok(())
}
