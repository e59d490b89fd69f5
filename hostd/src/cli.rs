//! Command-line arguments of the daemon.

use std::{net::SocketAddrV4, path::PathBuf};

use argh::FromArgs;
use eyre::Result;
use log::LevelFilter;

/// Dispatches jobs of short tasks on hosts of the platform.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    /// settings file of the host (default: the path in the environment)
    #[argh(option)]
    pub(crate) settings: Option<PathBuf>,

    /// port for metrics (default: 9464)
    #[argh(option, default = "9464")]
    pub(crate) metrics_port: u16,

    /// address to receive datagrams at, if it differs from the one in the settings, at which
    /// other processes reach this one (default: the one in the settings)
    #[argh(option)]
    pub(crate) bind: Option<SocketAddrV4>,

    /// minimum level of log lines: error, warn, info or debug (default: info)
    #[argh(option, default = "LevelFilter::Info")]
    pub(crate) log_level: LevelFilter,

    #[argh(subcommand)]
    pub(crate) role: Role,
}

/// Role of the process.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Role {
    Entry(EntryRole),
    Agent(AgentRole),
}

/// Accept jobs from callers and assign their tasks to agents.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryRole {}

/// Run tasks on the endpoint of this host.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub(crate) struct AgentRole {}

impl Arguments {
    /// Path of the settings file, from the arguments or the environment.
    pub(crate) fn settings_path(&self) -> Result<PathBuf> {
        self.settings.clone().map_or_else(platform::settings_path, Ok)
    }
}
