//! The configuration in force.

use std::{collections::HashSet, sync::Arc};

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Version that its operator gave it.
    pub version: u64,
    /// Position in the operator's log; decides which of two is newer.
    pub offset: u64,
    /// Queues of jobs, those with longer prefixes first.
    pub routes: Vec<Arc<Route>>,
    /// Services that exist.
    pub services: HashSet<String>,
    /// Limits of callers' requests.
    pub limits: Limits,
}

/// A queue of jobs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host header of its callers.
    pub host: String,
    /// What the paths of its jobs begin with.
    pub prefix: String,
    /// Service that runs its tasks.
    pub service: String,
    /// Urgency, 0 first.
    pub priority: u32,
    /// Failed runs of a task that fail its job.
    pub attempts: u32,
    /// Part of the objective that grows with the work of a job.
    pub stretch: f64,
    /// Fixed part of the objective, in ms.
    pub target: u64,
}

/// Limits of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all headers.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for the headers to arrive, in ms.
    pub header_time: u64,
    /// Time for which a connection may be idle, in ms.
    pub idle_time: u64,
}

impl Default for Limits {
    /// What holds until a configuration says otherwise.
    fn default() -> Limits {
        Limits { header_bytes: 16_384, body_bytes: 262_144, header_time: 3_000, idle_time: 15_000 }
    }
}

impl Config {
    /// Route of a request and the rest of its path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Route>, &'a str)> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .find_map(|route| Some((route, path.strip_prefix(route.prefix.as_str())?)))
    }

    /// Sorts the routes so that the longest prefix is found first.
    pub fn sort(&mut self) {
        self.routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
}
