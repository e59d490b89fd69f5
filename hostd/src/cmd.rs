//! The roles of the daemon.

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

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// The same for a process that has just been started: its first settings may name no seeds.
const EAGER_SETTINGS_LOOK: Duration = Duration::from_millis(150);
/// Times that the settings are read until the start fails.
const FIRST_READS: usize = 4;
/// Time after its start for which a process is eager; seeds come within 3 s.
const EAGER_TIME: Duration = Duration::from_secs(5);
/// Time for the last answers and log lines to be written.
const LINGER: Duration = Duration::from_millis(60);
/// Connections for metrics and readiness.
const PAGE_LIMITS: ConnectionLimits =
    ConnectionLimits { connections: 64, header_time: Duration::from_secs(2), header_bytes: 8_192 };

/// Reads the settings at the start of a process.
///
/// The platform may be writing the file just then, so a file that is not accepted is read
/// again a few times before the start fails.
async fn first_settings(path: &Path) -> Result<HostSettings> {
    for _ in 1..FIRST_READS {
        match platform::load_settings(path) {
            Ok(settings) => return Ok(settings),
            Err(err) => log::warn!(error:% = format!("{err:#}"); "the settings are read again"),
        }
        sleep(EAGER_SETTINGS_LOOK).await;
    }
    platform::load_settings(path)
}

/// What reaches the core of either role.
pub(crate) enum Input {
    /// A datagram has arrived.
    Datagram(SocketAddrV4, Datagram),
    /// The store knows these members.
    Members(Vec<Member>),
    /// The settings have changed.
    Settings(Box<HostSettings>),
    /// Time passes.
    Tick,
    /// The process is to stop.
    Stop,
}

/// A process that has read its settings and bound its socket for datagrams.
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
    /// Set when callers' connections are to end.
    close: watch::Sender<bool>,
    closing: watch::Receiver<bool>,
}

impl Process {
    /// Starts what both roles need.
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

    /// What finds other processes.
    fn discovery(&self) -> Discovery {
        let own = self.own.clone();
        let datagrams = self.datagrams.clone();
        Discovery::new(self.started, own, &self.settings, datagrams, rand::random())
    }

    /// Listens at an address that the settings must name.
    fn listen(&self, address: Option<SocketAddr>, what: &str) -> Result<TcpListener> {
        let name = &self.settings.name;
        let missing = || {
            eyre!("the settings of {name} name no listen address for {what}; the role needs one")
        };
        listen(address.ok_or_else(missing)?)
    }

    /// Feeds the core through `tell` until the process may end.
    ///
    /// `tell` returns false once the core is gone.
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

/// Passes signals and changes of the settings on until the process may end.
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

/// Reads the settings again; what cannot be read changes nothing.
fn reload(path: &Path, settings: &mut HostSettings, tell: &impl Fn(Input) -> bool) {
    match platform::load_settings(path) {
        Ok(new) if new != *settings => {
            log::info!(seeds = new.seeds.len(); "the settings have changed and are read again");
            *settings = new.clone();
            tell(Input::Settings(Box::new(new)));
        }
        Ok(_) => {}
        Err(err) => log::error!(error:% = format!("{err:#}"); "the settings stay as they were"),
    }
}
