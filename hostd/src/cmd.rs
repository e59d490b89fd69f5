//! The roles of the daemon.

pub(crate) mod agent;
pub(crate) mod entry;

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use eyre::{Result, eyre};
use mesh::{Member, Role};
use platform::HostSettings;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    http::{ConnectionLimits, listen},
    metrics::{Metrics, serve_metrics},
    signals::{Asked, Signals},
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

/// This process as a member.
fn member(settings: &HostSettings, role: Role) -> Member {
    Member { address: settings.mesh, role, zone: settings.zone.clone() }
}

/// Address that the settings must name.
fn required(
    address: Option<SocketAddr>,
    what: &str,
    settings: &HostSettings,
) -> Result<SocketAddr> {
    address.ok_or_else(|| {
        eyre!(
            "the settings of {} name no listen address for {what}; the role needs one",
            settings.name
        )
    })
}

/// Serves metrics beside the address for datagrams.
fn start_metrics(
    settings: &HostSettings,
    port: u16,
    closing: &watch::Receiver<bool>,
    metrics: &Arc<Metrics>,
) -> Result<()> {
    let listener = listen(SocketAddr::new((*settings.mesh.ip()).into(), port))?;
    tokio::spawn(serve_metrics(listener, PAGE_LIMITS, closing.clone(), Arc::clone(metrics)));
    Ok(())
}

/// Passes signals and changes of the settings on until the process may end.
async fn wait(
    path: &Path,
    mut signals: Signals,
    mut settings: HostSettings,
    mut finished: watch::Receiver<bool>,
    mut tell: impl FnMut(Notice),
) {
    let started = Instant::now();
    loop {
        let eager = started.elapsed() < EAGER_TIME;
        let pause = if eager { EAGER_SETTINGS_LOOK } else { SETTINGS_LOOK };
        tokio::select! {
            asked = signals.next() => match asked {
                Asked::Stop => {
                    log::info!("the process is asked to stop");
                    tell(Notice::Stop);
                }
                Asked::Reload => reload(path, &mut settings, &mut tell),
            },
            () = sleep(pause) => reload(path, &mut settings, &mut tell),
            _ = finished.wait_for(|it| *it) => break,
        }
    }
    log::info!("the process ends");
    sleep(LINGER).await;
}

/// What a role is told from outside.
enum Notice {
    Settings(Box<HostSettings>),
    Stop,
}

/// Reads the settings again; what cannot be read changes nothing.
fn reload(path: &Path, settings: &mut HostSettings, tell: &mut impl FnMut(Notice)) {
    match platform::load_settings(path) {
        Ok(new) if new != *settings => {
            log::info!(seeds = new.seeds.len(); "the settings have changed and are read again");
            *settings = new.clone();
            tell(Notice::Settings(Box::new(new)));
        }
        Ok(_) => {}
        Err(err) => log::error!(error:% = format!("{err:#}"); "the settings stay as they were"),
    }
}
