//! Settings of the daemon, from flags and environment variables.
//!
//! Each setting is read from a flag or, if the flag is missing, from an environment
//! variable. Both are validated in the same way, and every error names the setting
//! as it was given, its value and what is accepted.

mod error;
mod flags;
mod source;
mod value;

use std::{net::SocketAddr, path::PathBuf};

use ident::{Group, NodeId};

use crate::source::Setting;
pub use crate::{
    error::{ParseError, SettingError},
    flags::parse,
};

/// Reads the address that a program connects to from a flag or its environment variable.
///
/// The variable of a setting `name` is `PRIMROSEMUX_NAME`.
pub fn parse_address(
    name: &str,
    flag: Option<&str>,
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<SocketAddr, SettingError> {
    value::address(&Setting::find(name, flag.map(str::to_owned), env))
}

/// Command given to the daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run an entry.
    Entry(EntrySettings),
    /// Run an agent.
    Agent(AgentSettings),
    /// Exit after checking the settings, which are valid.
    Check,
}

/// Settings common to both roles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Address that the node listens on for its peers.
    pub node: NodeId,
    /// Availability zone of the node.
    pub availability_zone: String,
    /// Address of the platform's log service.
    pub log_service: SocketAddr,
    /// Entries that the node announces itself to.
    pub seeds: Vec<NodeId>,
    /// Destination of log lines.
    pub log_target: LogTarget,
    /// Memory that the process may use, in MB, with what its sockets hold unread.
    pub memory_mb: u32,
    /// File descriptors that the process may use.
    pub file_descriptors: u32,
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Settings common to both roles.
    pub node: NodeSettings,
    /// Address that the entry listens on for callers.
    pub listen: SocketAddr,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Settings common to both roles.
    pub node: NodeSettings,
    /// Name of its endpoint in the inventory.
    pub name: String,
    /// Group that the agent belongs to.
    pub group: Group,
    /// Address of its endpoint.
    pub endpoint: SocketAddr,
    /// Address that serves the health, readiness and metrics pages, if any.
    pub metrics: Option<SocketAddr>,
}

/// Destination of log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard output.
    Stdout,
    /// File that lines are appended to.
    File(PathBuf),
}
