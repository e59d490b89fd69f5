//! Settings of the daemon, from flags and environment variables.
//!
//! Each setting is a flag or, where the flag is missing, a variable. Both go
//! through the same checks, and every error names the setting as it was given,
//! its value and what is accepted.

mod error;
mod flags;
mod source;
mod value;

use std::{net::SocketAddr, path::PathBuf};

use ident::{Group, NodeId};

use crate::source::Setting;
pub use crate::{
    error::{SettingError, StartError},
    flags::parse,
};

/// Reads the address that a program connects to, from a flag or its variable.
///
/// The variable of a setting `name` is `PRIMROSEMUX_NAME`.
pub fn parse_address(
    name: &str,
    flag: Option<&str>,
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<SocketAddr, SettingError> {
    value::address(&Setting::find(name, flag.map(str::to_owned), env))
}

/// What the daemon is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run an entry.
    Entry(EntrySettings),
    /// Run an agent.
    Agent(AgentSettings),
    /// Only check the settings, which are in order.
    Checked,
}

/// Settings that both roles have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Address that the node listens on for its peers.
    pub node: NodeId,
    /// Availability zone that it stands in.
    pub availability_zone: String,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Entries to announce itself to.
    pub seeds: Vec<NodeId>,
    /// Where log lines go.
    pub log_target: LogTarget,
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Settings that both roles have.
    pub node: NodeSettings,
    /// Address that it listens on for callers.
    pub listen: SocketAddr,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Settings that both roles have.
    pub node: NodeSettings,
    /// Name of its endpoint in the inventory.
    pub name: String,
    /// Group that it serves.
    pub group: Group,
    /// Address of its endpoint.
    pub endpoint: SocketAddr,
    /// Address of its pages for health and metrics, if it has any.
    pub metrics: Option<SocketAddr>,
}

/// Where log lines go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogTarget {
    /// To the standard output.
    Stdout,
    /// To the end of a file.
    File(PathBuf),
}
