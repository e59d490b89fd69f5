//! Start and main loop of the daemon, common to both roles.

pub(crate) mod agent;
pub(crate) mod entry;

use std::{
    net::{SocketAddr, SocketAddrV4},
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use eyre::{Result, eyre};
use mesh::{Datagram, Member, Role, Uptime};
use platform::{HostSettings, Store};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    cli::Arguments,
    clock::uptime,
    datagrams::Datagrams,
    discovery::{Discovery, announce, look_up},
    http::{ConnectionLimits, listen},
    metrics::{Metrics, serve_metrics},
    signals::{Asked, Signals},
    tick,
};

/// Interval between reads of the settings file, which may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// Interval between reads after the start, when the settings may not name any seeds yet.
const EAGER_SETTINGS_LOOK: Duration = Duration::from_millis(150);
/// Attempts to load the settings before the start fails.
const FIRST_READS: usize = 4;
/// Time after the start with the shorter interval; seeds are written within 3 s.
const EAGER_TIME: Duration = Duration::from_secs(5);
/// Delay before the process ends, to write out the last answers and log lines.
const LINGER: Duration = Duration::from_millis(60);
/// Limits of connections for metrics, readiness and heartbeats.
const PAGE_LIMITS: ConnectionLimits =
    ConnectionLimits { connections: 64, header_time: Duration::from_secs(2), header_bytes: 8_192 };

/// Loads the settings at the start of a process.
///
/// The platform may still be writing the file, so loading is retried a few times before the
/// start fails.
async fn first_settings(path: &Path) -> Result<HostSettings> {
    for _ in 1..FIRST_READS {
        match platform::load_settings(path) {
            Ok(settings) => return Ok(settings),
            Err(err) => {
                log::warn!(error:% = format!("{err:#}"); "loading the settings failed; retrying")
            }
        }
        sleep(EAGER_SETTINGS_LOOK).await;
    }
    platform::load_settings(path)
}

/// Input of the actor of either role.
pub(crate) enum Input {
    /// A datagram has arrived.
    Datagram(SocketAddrV4, Datagram),
    /// Members that are registered in the store.
    Members(Vec<Member>),
    /// The settings have changed.
    Settings(Box<HostSettings>),
    /// Periodic tick.
    Tick,
    /// Request to shut down.
    Stop,
}

/// A process with its settings loaded and its datagram socket bound.
struct Process {
    signals: Signals,
    path: PathBuf,
    settings: HostSettings,
    own: Member,
    incarnation: u64,
    started: Uptime,
    datagrams: Datagrams,
    metrics: Arc<Metrics>,
    store: Store,
    /// Set to close the connections of callers gracefully.
    close: watch::Sender<bool>,
    closing: watch::Receiver<bool>,
}

impl Process {
    /// Loads the settings, binds the datagram socket and serves metrics.
    async fn start(arguments: &Arguments, role: Role) -> Result<Process> {
        let signals = Signals::new()?;
        let path = arguments.settings_path()?;
        let settings = first_settings(&path).await?;
        let own = Member { address: settings.mesh, role, zone: settings.zone.clone() };
        let incarnation = rand::random();
        log::info!(
            role:? = role, host = settings.name.as_str(), zone = settings.zone.as_str(),
            address:% = own.address, seeds = settings.seeds.len(), incarnation = incarnation;
            "a process starts"
        );
        let datagrams = Datagrams::bind(arguments.bind.unwrap_or(settings.mesh)).await?;
        let metrics = Arc::new(Metrics::new());
        let (close, closing) = watch::channel(false);
        let pages = listen(SocketAddr::new((*settings.mesh.ip()).into(), arguments.metrics_port))?;
        tokio::spawn(serve_metrics(pages, PAGE_LIMITS, closing.clone(), Arc::clone(&metrics)));
        let store = Store::new(settings.store);
        Ok(Process {
            signals,
            path,
            own,
            incarnation,
            started: uptime(),
            datagrams,
            metrics,
            store,
            close,
            closing,
            settings,
        })
    }

    /// Creates the discovery of other processes.
    fn discovery(&self) -> Discovery {
        let own = self.own.clone();
        let datagrams = self.datagrams.clone();
        Discovery::new(self.started, own, &self.settings, datagrams, rand::random())
    }

    /// Listens at an address that the role requires in the settings.
    fn listen(&self, address: Option<SocketAddr>, what: &str) -> Result<TcpListener> {
        let name = &self.settings.name;
        let missing = || {
            eyre!(
                "the settings of {name} have no listen address for {what}, which the role requires"
            )
        };
        listen(address.ok_or_else(missing)?)
    }

    /// Passes input to `tell` until the core has finished.
    ///
    /// `tell` returns false once the actor has stopped.
    async fn run(
        self,
        finished: watch::Receiver<bool>,
        tell: impl Fn(Input) -> bool + Clone + Send + 'static,
    ) {
        tokio::spawn(announce(self.store.clone(), self.own));
        let to = tell.clone();
        tokio::spawn(look_up(self.store, move |members| to(Input::Members(members))));
        let to = tell.clone();
        let receive = move |from, datagram| to(Input::Datagram(from, datagram));
        tokio::spawn(self.datagrams.receive(receive));
        let to = tell.clone();
        tokio::spawn(tick::run(move || to(Input::Tick)));
        wait(&self.path, self.signals, self.settings, finished, tell).await;
    }
}

/// Forwards signals and changed settings until the core has finished.
async fn wait(
    path: &Path,
    mut signals: Signals,
    mut settings: HostSettings,
    mut finished: watch::Receiver<bool>,
    tell: impl Fn(Input) -> bool,
) {
    let started = Instant::now();
    loop {
        let eager = started.elapsed() < EAGER_TIME;
        let pause = if eager { EAGER_SETTINGS_LOOK } else { SETTINGS_LOOK };
        tokio::select! {
            asked = signals.next() => match asked {
                Asked::Stop => {
                    log::info!("the process is asked to stop");
                    tell(Input::Stop);
                }
                Asked::Reload => reload(path, &mut settings, &tell),
            },
            () = sleep(pause) => reload(path, &mut settings, &tell),
            _ = finished.wait_for(|it| *it) => break,
        }
    }
    log::info!("the process ends");
    sleep(LINGER).await;
}

/// Reloads the settings; keeps the current ones if they cannot be loaded.
fn reload(path: &Path, settings: &mut HostSettings, tell: &impl Fn(Input) -> bool) {
    match platform::load_settings(path) {
        Ok(new) if new != *settings => {
            log::info!(seeds = new.seeds.len(); "the settings have changed and are read again");
            *settings = new.clone();
            tell(Input::Settings(Box::new(new)));
        }
        Ok(_) => {}
        Err(err) => {
            log::error!(error:% = format!("{err:#}"); "reloading the settings failed; keeping the current ones")
        }
    }
}
