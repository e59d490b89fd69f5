//! The `entry` command.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use broker::{Broker, Limits, Options, Policy, RUN_EXPIRY_MS};
use eyre::{Context, Result};
use hyper::StatusCode;
use intake::{Connections, Pace, Shares, Timeouts};
use mesh::Role;
use platform::{ConfigReader, READINESS_PATH};
use ractor::Actor;
use tokio::{sync::watch, time::sleep};

use super::{Input, Process, READS_PER_WINDOW, internal_port};
use crate::{
    callers::CallerService,
    cli::Arguments,
    config::{ConfigExchange, CurrentConfig, follow_config},
    entry::{Dependencies, EntryActor, Message},
    http::{Port, error_response, json_response, serve},
    metrics::PortName,
};

/// Delay before a stopping entry closes its callers' connections; by then the load balancer has
/// seen two failed readiness checks and opens no new ones.
const CLOSE_DELAY: Duration = Duration::from_millis(2_200);

/// Runs an entry until it has shut down.
pub(crate) async fn run(arguments: &Arguments) -> Result<()> {
    let process = Process::start(arguments, Role::Entry).await?;
    let Shares { connections, internal_connections, .. } = process.shares;
    let callers = process.listen(process.settings.callers, connections, "callers")?;
    let readiness =
        process.listen(process.settings.readiness, internal_connections, "readiness")?;
    let current_config = Arc::new(CurrentConfig::default());
    let ready = Arc::new(AtomicBool::new(false));
    let stopping = Arc::new(AtomicBool::new(false));
    let (finished, is_finished) = watch::channel(false);
    let options = Options {
        incarnation: process.incarnation,
        zone: process.settings.zone.clone(),
        seed: rand::random(),
        run_expiry: RUN_EXPIRY_MS,
        remote_percent: process.settings.remote_percent,
        policy: Policy::default(),
    };
    let reader = ConfigReader::new(process.store.clone());
    let config_exchange = ConfigExchange::new(
        Arc::clone(&current_config),
        reader.answered(),
        process.datagrams.clone(),
        process.metrics.clone(),
    );
    let deps = Dependencies {
        broker: Broker::new(process.started, options),
        discovery: process.discovery(),
        evacuations: process.evacuations(),
        config_exchange,
        datagrams: process.datagrams.clone(),
        metrics: process.metrics.clone(),
        ready: Arc::clone(&ready),
        finished,
    };
    let (actor, _) = Actor::spawn(None, EntryActor, deps)
        .await
        .context("the actor of the entry cannot be started")?;

    let config_actor = actor.clone();
    let sink = move |state| {
        // The cast fails only once the actor has stopped, at the end of the process.
        let _ = config_actor.cast(Message::Input(Input::Evacuations(state)));
    };
    let (current, metrics) = (Arc::clone(&current_config), process.metrics.clone());
    tokio::spawn(follow_config(reader, current, metrics, sink));

    let limits = Limits::default();
    let idle_timeout = Duration::from_millis(limits.idle_time);
    let header_timeout = Duration::from_millis(limits.header_time);
    let port = Port {
        name: PortName { port: "callers" },
        metrics: process.metrics.clone(),
        connections: Connections::new(connections),
        pace: Pace::new(READS_PER_WINDOW),
        idle_timeout,
        timeouts: Timeouts { header: header_timeout, write: idle_timeout },
        header_bytes: limits.header_bytes,
    };
    let service = CallerService::new(
        actor.clone(),
        Arc::clone(&current_config),
        process.metrics.clone(),
        Arc::clone(&stopping),
        &process.shares,
    );
    let handle = move |request, origin| service.clone().handle(request, origin);
    tokio::spawn(serve(callers, port, process.closing.clone(), handle));
    let (_close, never_closing) = watch::channel(false);
    tokio::spawn(serve(
        readiness,
        internal_port("readiness", &process.shares, &process.metrics),
        never_closing,
        move |request, _| {
            let is_ready = ready.load(Ordering::Relaxed) && current_config.get().is_some();
            async move {
                match (request.uri().path(), is_ready) {
                    (READINESS_PATH, true) => json_response(StatusCode::OK, b"{}".to_vec()),
                    (READINESS_PATH, false) => {
                        error_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
                    }
                    _ => error_response(StatusCode::NOT_FOUND, "only readiness is served here"),
                }
            }
        },
    ));

    let close = process.close.clone();
    let send = move |input| {
        if let Input::Stop = input {
            stopping.store(true, Ordering::Relaxed);
            let close = close.clone();
            tokio::spawn(async move {
                sleep(CLOSE_DELAY).await;
                close.send_replace(true);
            });
        }
        actor.cast(Message::Input(input)).is_ok()
    };
    process.run(is_finished, send).await;
    Ok(())
}
