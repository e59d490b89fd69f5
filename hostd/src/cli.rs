//! Arguments of the daemon.

use std::{net::SocketAddrV4, path::PathBuf};

use argh::FromArgs;
use eyre::Result;
use log::LevelFilter;

/// Dispatches jobs of short tasks on hosts of the platform.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    /// settings file of the host; by default the one that the environment names
    #[argh(option)]
    pub(crate) settings: Option<PathBuf>,

    /// port for metrics (default: 9464)
    #[argh(option, default = "9464")]
    pub(crate) metrics_port: u16,

    /// address at which datagrams are received, if others reach this process at another one
    /// than the settings name (default: the one that the settings name)
    #[argh(option)]
    pub(crate) bind: Option<SocketAddrV4>,

    /// least level of log lines: error, warn, info or debug (default: info)
    #[argh(option, default = "LevelFilter::Info")]
    pub(crate) log_level: LevelFilter,

    #[argh(subcommand)]
    pub(crate) role: Role,
}

/// What the process does.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Role {
    Entry(EntryRole),
    Agent(AgentRole),
}

/// Take callers' jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryRole {}

/// Stand beside an endpoint and run tasks on it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub(crate) struct AgentRole {}

impl Arguments {
    /// Path of the settings file.
    pub(crate) fn settings_path(&self) -> Result<PathBuf> {
        self.settings.clone().map_or_else(platform::settings_path, Ok)
    }
}
