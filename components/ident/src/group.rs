//! Groups of agents that share a set of shards.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Group of agents that serve the same requests; each group has its own shards.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Group {
    /// Executors of one service.
    Service(String),
    /// Workers, which run the tasks of jobs.
    Workers,
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Group::Service(name) => write!(f, "service {name}"),
            Group::Workers => f.write_str("workers"),
        }
    }
}
