//! Validation of single settings.

use std::{net::SocketAddr, path::PathBuf};

use ident::{Group, NodeId};

use crate::{LogTarget, SettingError, source::Setting};

const ADDRESS: &str = "an IP address and a port above 0, such as 192.0.2.7:7400";
const NODE: &str = "the IP address and port by which peers reach this node, such as 192.0.2.7:7400";
const SEEDS: &str =
    "the node addresses of entries, separated by commas, such as 192.0.2.7:7400,192.0.2.8:7400";
const NAME: &str = "a non-empty name";
const GROUP: &str = "either --service with the service's name or --workers, not both";
const LIMIT: &str = "a whole number above 0";
const SWITCH: &str = "true or false";

/// Parses an address to listen on or to connect to.
pub(crate) fn address(setting: &Setting) -> Result<SocketAddr, SettingError> {
    let text = setting.required(ADDRESS)?;
    let address: SocketAddr = text.parse().map_err(|_| setting.error(ADDRESS))?;
    match address.port() {
        0 => Err(setting.error(ADDRESS)),
        _ => Ok(address),
    }
}

/// Parses an address that may be missing.
pub(crate) fn optional_address(setting: &Setting) -> Result<Option<SocketAddr>, SettingError> {
    match setting.text {
        Some(_) => address(setting).map(Some),
        None => Ok(None),
    }
}

/// Parses the address that identifies this node.
pub(crate) fn node(setting: &Setting) -> Result<NodeId, SettingError> {
    parse_node(setting.required(NODE)?).ok_or_else(|| setting.error(NODE))
}

/// Parses a list of node addresses of entries.
pub(crate) fn seeds(setting: &Setting) -> Result<Vec<NodeId>, SettingError> {
    let text = setting.required(SEEDS)?;
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let nodes: Option<Vec<NodeId>> = parts.map(parse_node).collect();
    nodes.filter(|nodes| !nodes.is_empty()).ok_or_else(|| setting.error(SEEDS))
}

/// Parses the addresses of other entries, which the first entry has none of.
pub(crate) fn optional_seeds(setting: &Setting) -> Result<Vec<NodeId>, SettingError> {
    match setting.text {
        Some(_) => seeds(setting),
        None => Ok(Vec::new()),
    }
}

pub(crate) fn name(setting: &Setting) -> Result<String, SettingError> {
    let text = setting.required(NAME)?.trim();
    match text.is_empty() {
        true => Err(setting.error(NAME)),
        false => Ok(text.to_owned()),
    }
}

/// Parses a boolean, which is false if it is missing.
pub(crate) fn switch(setting: &Setting) -> Result<bool, SettingError> {
    match setting.text.as_deref() {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(setting.error(SWITCH)),
    }
}

/// Parses a limit, which has a default.
pub(crate) fn limit(setting: &Setting, default: u32) -> Result<u32, SettingError> {
    let Some(text) = &setting.text else { return Ok(default) };
    let value: u32 = text.parse().map_err(|_| setting.error(LIMIT))?;
    match value {
        0 => Err(setting.error(LIMIT)),
        _ => Ok(value),
    }
}

/// Derives the group of an agent from its service or the switch for workers.
pub(crate) fn group(service: &Setting, workers: &Setting) -> Result<Group, SettingError> {
    match (&service.text, switch(workers)?) {
        (Some(_), false) => name(service).map(Group::Service),
        (None, true) => Ok(Group::Workers),
        (Some(_), true) | (None, false) => Err(service.error(GROUP)),
    }
}

/// Parses the destination of log lines.
pub(crate) fn log_target(setting: &Setting) -> LogTarget {
    match &setting.text {
        Some(path) => LogTarget::File(PathBuf::from(path)),
        None => LogTarget::Stdout,
    }
}

fn parse_node(text: &str) -> Option<NodeId> {
    let node: NodeId = text.parse().ok()?;
    let NodeId(address) = node;
    let reachable = address.port() != 0 && !address.ip().is_unspecified();
    reachable.then_some(node)
}
