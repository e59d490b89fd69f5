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
use intake::{Budget, Connections, Pace, Reservation, Resources, Shares, Timeouts};
use mesh::{Datagram, Evacuations, Member, Role, Uptime};
use platform::{HostSettings, Store};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    cli::Arguments,
    clock::uptime,
    datagrams::DatagramSocket,
    discovery::{Discovery, follow_members, register_member},
    evacuations::EvacuationTracker,
    http::{Port, listen},
    metrics::{Metrics, PortName, serve_metrics},
    signals::{SignalAction, Signals},
    tick,
};

/// Interval between reads of the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between reads after the start, when the settings may not list any seeds yet.
const STARTUP_SETTINGS_INTERVAL: Duration = Duration::from_millis(150);
/// Number of attempts to load the settings before the start fails.
const MAX_LOAD_ATTEMPTS: usize = 4;
/// Time after the start during which [`STARTUP_SETTINGS_INTERVAL`] applies; seeds are written
/// within 3 s.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Delay before the process ends, to write out the last answers and log lines.
const EXIT_DELAY: Duration = Duration::from_millis(60);
/// Time limit for the headers and for idle connections at internal ports: those for metrics,
/// readiness and heartbeats.
const INTERNAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of all headers at internal ports, in bytes.
const INTERNAL_HEADER_BYTES: usize = 8_192;
/// Reads from the connections of a port in each window of its pace: up to 256 KB in 10 ms.
const READS_PER_WINDOW: usize = 64;
/// Memory of a process whose settings have no limit, in bytes, by role.
const DEFAULT_ENTRY_MEMORY: usize = 260 * MEGABYTE;
const DEFAULT_AGENT_MEMORY: usize = 128 * MEGABYTE;
/// File descriptors of a process whose settings have no limit.
const DEFAULT_DESCRIPTORS: usize = 4_100;
const MEGABYTE: usize = 1_000_000;

/// Loads the settings at the start of a process.
///
/// The platform may still be writing the file, so loading is retried a few times before the
/// start fails.
async fn load_initial_settings(path: &Path) -> Result<HostSettings> {
    for _ in 1..MAX_LOAD_ATTEMPTS {
        match platform::load_settings(path) {
            Ok(settings) => return Ok(settings),
            Err(err) => {
                log::warn!(error:% = format!("{err:#}"); "loading the settings failed; retrying")
            }
        }
        sleep(STARTUP_SETTINGS_INTERVAL).await;
    }
    platform::load_settings(path)
}

/// Input of the actor, common to both roles.
pub(crate) enum Input {
    /// A datagram has arrived; its memory is reserved until it is handled.
    Datagram(SocketAddrV4, Datagram, Reservation),
    /// Members that are registered in the store.
    Members(Vec<Member>),
    /// Evacuated zones were read from the store.
    Evacuations(Evacuations),
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
    settings_path: PathBuf,
    settings: HostSettings,
    own: Member,
    /// Random id of this start of the process.
    incarnation: u64,
    started: Uptime,
    datagrams: DatagramSocket,
    metrics: Arc<Metrics>,
    store: Store,
    /// What clients may make the process hold.
    shares: Shares,
    /// Set by a stopping entry to close connections, mainly those of callers, gracefully.
    close: watch::Sender<bool>,
    closing: watch::Receiver<bool>,
}

impl Process {
    /// Loads the settings, binds the datagram socket and serves metrics.
    async fn start(arguments: &Arguments, role: Role) -> Result<Process> {
        let signals = Signals::new()?;
        let settings_path = arguments.settings_path()?;
        let settings = load_initial_settings(&settings_path).await?;
        let own = Member { address: settings.mesh, role, zone: settings.zone.clone() };
        let incarnation = rand::random();
        log::info!(
            role:? = role, host = settings.name.as_str(), zone = settings.zone.as_str(),
            address:% = own.address, seeds = settings.seeds.len(),
            ignored_seeds:? = settings.ignored_seeds, incarnation = incarnation;
            "a process starts"
        );
        let shares = Shares::of(resources(&settings, role));
        let datagrams = DatagramSocket::bind(arguments.bind.unwrap_or(settings.mesh)).await?;
        let metrics = Arc::new(Metrics::new());
        let (close, closing) = watch::channel(false);
        let address = SocketAddr::new((*settings.mesh.ip()).into(), arguments.metrics_port);
        let listener = listen(address, shares.internal_connections)?;
        let port = internal_port("metrics", &shares, &metrics);
        tokio::spawn(serve_metrics(listener, port, closing.clone(), Arc::clone(&metrics)));
        let store = Store::new(settings.store);
        Ok(Process {
            signals,
            settings_path,
            own,
            incarnation,
            started: uptime(),
            datagrams,
            metrics,
            store,
            shares,
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

    /// Creates the tracker of evacuated zones.
    fn evacuations(&self) -> EvacuationTracker {
        EvacuationTracker::new(&self.settings, self.datagrams.clone(), Arc::clone(&self.metrics))
    }

    /// Listens at an address that the role requires in the settings.
    fn listen(
        &self,
        address: Option<SocketAddr>,
        connections: usize,
        purpose: &str,
    ) -> Result<TcpListener> {
        let name = &self.settings.name;
        let missing = || {
            eyre!(
                "the settings of {name} have no listen address for {purpose}, which the role requires"
            )
        };
        listen(address.ok_or_else(missing)?, connections)
    }

    /// Passes input to `send` until the core has finished.
    ///
    /// `send` returns false once the actor has stopped.
    async fn run(
        self,
        finished: watch::Receiver<bool>,
        send: impl Fn(Input) -> bool + Clone + Send + 'static,
    ) {
        tokio::spawn(register_member(self.store.clone(), self.own));
        let sender = send.clone();
        tokio::spawn(follow_members(self.store, move |members| sender(Input::Members(members))));
        let sender = send.clone();
        let receive = move |from, datagram, memory| sender(Input::Datagram(from, datagram, memory));
        tokio::spawn(self.datagrams.receive(Budget::new(self.shares.message_bytes), receive));
        let sender = send.clone();
        tokio::spawn(tick::run(move || sender(Input::Tick)));
        run_until_finished(&self.settings_path, self.signals, self.settings, finished, send).await;
    }
}

/// Memory and descriptors that a process may use.
fn resources(settings: &HostSettings, role: Role) -> Resources {
    let default = match role {
        Role::Entry => DEFAULT_ENTRY_MEMORY,
        Role::Agent => DEFAULT_AGENT_MEMORY,
    };
    Resources {
        memory: settings.memory_mb.map_or(default, |it| it as usize * MEGABYTE),
        descriptors: settings.file_descriptors.map_or(DEFAULT_DESCRIPTORS, |it| it as usize),
    }
}

/// An internal port without connections.
fn internal_port(name: &'static str, shares: &Shares, metrics: &Arc<Metrics>) -> Port {
    Port {
        name: PortName { port: name },
        metrics: Arc::clone(metrics),
        connections: Connections::new(shares.internal_connections),
        pace: Pace::new(READS_PER_WINDOW),
        idle_timeout: INTERNAL_TIMEOUT,
        timeouts: Timeouts { header: INTERNAL_TIMEOUT, write: INTERNAL_TIMEOUT },
        header_bytes: INTERNAL_HEADER_BYTES,
    }
}

/// Forwards signals and changed settings until the core has finished.
async fn run_until_finished(
    path: &Path,
    mut signals: Signals,
    mut settings: HostSettings,
    mut finished: watch::Receiver<bool>,
    send: impl Fn(Input) -> bool,
) {
    let started = Instant::now();
    loop {
        let is_starting = started.elapsed() < STARTUP_TIME;
        let interval = if is_starting { STARTUP_SETTINGS_INTERVAL } else { SETTINGS_INTERVAL };
        tokio::select! {
            action = signals.next() => match action {
                SignalAction::Stop => {
                    log::info!("the process is asked to stop");
                    send(Input::Stop);
                }
                SignalAction::Reload => reload(path, &mut settings, &send),
            },
            () = sleep(interval) => reload(path, &mut settings, &send),
            _ = finished.wait_for(|it| *it) => break,
        }
    }
    log::info!("the process ends");
    sleep(EXIT_DELAY).await;
}

/// Reloads the settings; keeps the current ones if they cannot be loaded.
fn reload(path: &Path, settings: &mut HostSettings, send: &impl Fn(Input) -> bool) {
    match platform::load_settings(path) {
        Ok(new) if new != *settings => {
            log::info!(
                seeds = new.seeds.len(), ignored_seeds:? = new.ignored_seeds;
                "the settings have changed and are read again"
            );
            *settings = new.clone();
            send(Input::Settings(Box::new(new)));
        }
        Ok(_) => {}
        Err(err) => {
            log::error!(error:% = format!("{err:#}"); "reloading the settings failed; keeping the current ones")
        }
    }
}
