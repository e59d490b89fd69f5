//! Nodes and their incarnations.

use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// Address that a node listens on for its peers; it stays the same across restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub SocketAddr);

/// One start of a node, identified by the time at which it began to listen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub Timestamp);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for NodeId {
    type Err = std::net::AddrParseError;

    fn from_str(s: &str) -> Result<NodeId, Self::Err> {
        s.parse().map(NodeId)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
